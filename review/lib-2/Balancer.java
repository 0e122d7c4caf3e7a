package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** One balancer: its configuration file and its process, started by the run line of the deploy file. */
public final class Balancer {
    public final String name;
    public final String listen;
    public final String console;

    /** The address of discovery in the next configuration that is written. */
    public String discovery;

    /** The list of caches in the configuration. */
    public String known = "{\"rev\":0,\"all\":true,\"targets\":[]}";

    /** The settings, as a JSON object. */
    public String settings;

    public int sockets = 1024;

    Path log;
    private Path config;
    private Process process;
    private Case owner;

    public Balancer(String name) throws IOException {
        this.name = name;
        this.listen = Case.freeAddress();
        this.console = Case.freeAddress();
    }

    void start(Case newOwner, Path root, Path folder) throws IOException {
        owner = newOwner;
        config = folder.resolve("config.json");
        log = folder.resolve("log.txt");
        writeConfig();
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", run)
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", listen);
        builder.environment().put("GW_CONSOLE", console);
        builder.environment().put("GW_DISCOVERY", discovery);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment()
                .put("TMPDIR", Files.createDirectory(folder.resolve("tmp")).toString());
        process = builder.start();
        owner.note(name, "started");
    }

    void awaitReady(Case owner) throws Exception {
        double until = owner.now() + 20_000;
        while (owner.now() < until && process.isAlive()) {
            try (Client client = new Client(owner, name + "-front", listen)) {
                client.write("mn\r\n");
                if ("MN".equals(client.readLine(1000))) {
                    owner.note(name, "answers mn with MN");
                    return;
                }
            } catch (IOException e) {
                Case.sleep(50);
            }
        }
        throw new IOException("the balancer is not ready");
    }

    /** Replaces the configuration file. */
    public void writeConfig() throws IOException {
        String json =
                "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"console\":\"" + console
                        + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                        + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}\n";
        Path next = config.resolveSibling("next.json");
        Files.writeString(next, json, StandardCharsets.UTF_8);
        Files.move(
                next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Sends a signal, such as HUP, to the program that run started. */
    public void signal(String signal) throws Exception {
        owner.note(name, "SIG" + signal);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                .start()
                .waitFor();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    void kill() {
        try {
            if (process != null) {
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes a call of the operators and returns the status code. */
    public int call(String method, String path, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(Case.address(console), 1000);
            socket.setSoTimeout(4000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write(
                            (method + " " + path + " HTTP/1.1\r\nHost: " + console
                                            + "\r\nContent-Length: " + bytes.length + "\r\n\r\n" + body)
                                    .getBytes(StandardCharsets.UTF_8));
            byte[] answer = socket.getInputStream().readNBytes(12);
            int status = Integer.parseInt(new String(answer, StandardCharsets.UTF_8).substring(9));
            owner.note(name, method + " " + path + " " + body + " -> " + status);
            return status;
        }
    }
}
