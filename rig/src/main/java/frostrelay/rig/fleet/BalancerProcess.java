package frostrelay.rig.fleet;

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
    private static final long READY_NS = 30_000_000_000L;
    private static final int ASK_MS = 500;
    private static final long ASK_AGAIN_MS = 20;

    private final String name;
    private final Program program;
    private final Path folder;
    private final InetSocketAddress listen;
    private Process process;

    /**
     * {@code folder}: holds its configuration, its log and its temporary files; {@code config}: the
     * platform's JSON.
     */
    public BalancerProcess(
            String name, Program program, Path folder, InetSocketAddress listen, String config)
            throws IOException {
        this.name = name;
        this.program = program;
        this.folder = folder;
        this.listen = listen;
        Files.createDirectories(folder.resolve("tmp"));
        Files.writeString(folder.resolve("config.json"), config);
    }

    /** Starts it; its log goes behind what is there. */
    public synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(program.command());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        process = Children.start(builder);
    }

    /** Waits until it takes requests. Throws IllegalStateException if it does not come up. */
    public void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + READY_NS;
        while (System.nanoTime() < end && isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(listen, ASK_MS);
                socket.setSoTimeout(ASK_MS);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
                String answer =
                        new BufferedReader(
                                        new InputStreamReader(
                                                socket.getInputStream(),
                                                StandardCharsets.ISO_8859_1))
                                .readLine();
                if ("MN".equals(answer)) {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(ASK_AGAIN_MS);
        }
        throw new IllegalStateException(name + " does not come up; its log is " + log());
    }

    /** Where its log is. */
    public Path log() {
        return folder.resolve("balancer.log");
    }

    /** Whether the process runs. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** CPU it has used so far. */
    public synchronized Duration cpu() {
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
    public synchronized void askToEnd() {
        process.destroy();
    }

    /**
     * Asks it to end, waits for that up to a limit in milliseconds, and ends it at once past that.
     */
    public void terminate(long limitMs) throws InterruptedException {
        Process ending;
        synchronized (this) {
            ending = process;
        }
        ending.destroy();
        if (!ending.waitFor(limitMs, TimeUnit.MILLISECONDS)) {
            ending.destroyForcibly();
        }
    }

    /** Tells it that its configuration was replaced. */
    public void hangUp() throws IOException {
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
    public Path folder() {
        return folder;
    }

    /** Puts another configuration in its place, whole; it is not told. */
    public void configure(String config) throws IOException {
        Path draft = folder.resolve("config.draft");
        Files.writeString(draft, config);
        Files.move(
                draft, folder.resolve("config.json"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public synchronized void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
