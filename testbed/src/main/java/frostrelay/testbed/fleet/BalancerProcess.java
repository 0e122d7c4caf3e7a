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

/** One real balancer as a process of its own, as the platform starts it. */
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
     * {@code directory}: holds its configuration, its log and its temporary files; {@code config}:
     * the platform's JSON.
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

    /** Starts it; its log goes behind what is there. */
    public synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(program.command());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_CONFIG", directory.resolve("config.json").toString());
        builder.environment().put("TMPDIR", directory.resolve("tmp").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        process = ChildProcesses.start(builder);
    }

    /** Waits until it takes requests. Throws IllegalStateException if it does not come up. */
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
                // Not yet.
            }
            Thread.sleep(READY_CHECK_INTERVAL_MILLIS);
        }
        throw new IllegalStateException(name + " does not come up; its log is " + logFile());
    }

    /** Where its log is. */
    public Path logFile() {
        return directory.resolve("balancer.log");
    }

    /** Whether the process runs. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** CPU it has used so far. */
    public synchronized Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Memory that it has in use, in KB; 0 where the system does not tell. */
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

    /** Ends it at once. */
    public synchronized void kill() {
        process.destroyForcibly();
    }

    /** Asks it to end, and does not wait for that. */
    public synchronized void requestShutdown() {
        process.destroy();
    }

    /**
     * Asks it to end, waits for that up to a limit in milliseconds, and ends it at once past that.
     */
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

    /** Tells it that its configuration was replaced. */
    public void signalReload() throws IOException {
        signal("HUP");
    }

    /** Sends it a signal by its name, without SIG; waits until that is done. */
    public synchronized void signal(String name) throws IOException {
        // Java sends no signal but those that end a process.
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Where its configuration, its log and its temporary files are. */
    public Path directory() {
        return directory;
    }

    /** Puts another configuration in its place, whole; it is not told. */
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
