package frostrelay.testbed.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A real balancer in a separate process, started as the platform starts it. */
public final class BalancerProcess implements AutoCloseable {
    private static final long READY_TIMEOUT_NANOS = 30_000_000_000L;
    private static final int READY_CHECK_TIMEOUT_MILLIS = 500;
    private static final long READY_CHECK_INTERVAL_MILLIS = 20;

    private final String name;
    private final BalancerCommand program;
    private final Path directory;
    private final InetSocketAddress listenAddress;
    private Process process;

    /**
     * Writes the configuration file. {@code directory}: for the configuration, the log and
     * temporary files; {@code config}: in the platform's JSON format.
     */
    public BalancerProcess(
            String name,
            BalancerCommand program,
            Path directory,
            InetSocketAddress listenAddress,
            String config)
            throws IOException {
        this.name = name;
        this.program = program;
        this.directory = directory;
        this.listenAddress = listenAddress;
        Files.createDirectories(directory.resolve("tmp"));
        Files.writeString(directory.resolve("config.json"), config);
    }

    /** Starts the process; its output is appended to the log file. */
    public synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(program.command());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_CONFIG", directory.resolve("config.json").toString());
        builder.environment().put("TMPDIR", directory.resolve("tmp").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        process = ChildProcesses.start(builder);
    }

    /**
     * Waits until the balancer answers requests. Throws IllegalStateException if the process exits
     * or is not ready within 30 s.
     */
    public void awaitReady() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (System.nanoTime() < deadlineNanos && isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(listenAddress, READY_CHECK_TIMEOUT_MILLIS);
                socket.setSoTimeout(READY_CHECK_TIMEOUT_MILLIS);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
                String response =
                        new BufferedReader(
                                        new InputStreamReader(
                                                socket.getInputStream(),
                                                StandardCharsets.ISO_8859_1))
                                .readLine();
                if ("MN".equals(response)) {
                    return;
                }
            } catch (IOException e) {
                // Not ready yet; the loop tries again.
            }
            Thread.sleep(READY_CHECK_INTERVAL_MILLIS);
        }
        throw new IllegalStateException(
                name + " exited or did not answer within 30 s; see its log " + logFile());
    }

    /** Returns the path of the log file. */
    public Path logFile() {
        return directory.resolve("balancer.log");
    }

    /** Returns whether the process is running. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns the CPU time that the process has used. */
    public synchronized Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the resident memory in KB, or 0 where the system does not report it. */
    public synchronized long residentKb() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .map(line -> line.replaceAll("\\D", ""))
                    .mapToLong(Long::parseLong)
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Kills the process. */
    public synchronized void kill() {
        process.destroyForcibly();
    }

    /** Requests a shutdown and returns without waiting for it. */
    public synchronized void requestShutdown() {
        process.destroy();
    }

    /** Requests a shutdown and kills the process if it has not exited within the timeout. */
    public void terminate(long timeoutMillis) throws InterruptedException {
        Process terminating;
        synchronized (this) {
            terminating = process;
        }
        terminating.destroy();
        if (!terminating.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
            terminating.destroyForcibly();
        }
    }

    /** Signals the process to reload its configuration. */
    public void signalReload() throws IOException {
        signal("HUP");
    }

    /** Sends a signal, named without the prefix SIG, and waits until it is sent. */
    public synchronized void signal(String name) throws IOException {
        // Java can only send signals that terminate a process.
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the directory of the configuration, the log and temporary files. */
    public Path directory() {
        return directory;
    }

    /** Replaces the configuration file atomically, without signalling the process. */
    public void replaceConfig(String config) throws IOException {
        Path temporaryFile = directory.resolve("config.draft");
        Files.writeString(temporaryFile, config);
        Files.move(
                temporaryFile,
                directory.resolve("config.json"),
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public synchronized void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
