package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts the balancer as a separate process, for tests of its log, signals and exit code. */
final class BalancerProcess {
    static final String SERVING_EVENT = "\"event\":\"serving\"";

    private BalancerProcess() {}

    static Process start(String config, Path sharedDirectory) throws IOException {
        return start(config, sharedDirectory, "-XX:TieredStopAtLevel=1", "-Xshare:auto");
    }

    /** Starts the balancer with the memory limits with which it is deployed. */
    static Process startAsDeployed(String config, Path sharedDirectory) throws IOException {
        return start(config, sharedDirectory, "@../deploy/jvm.options");
    }

    private static Process start(String config, Path sharedDirectory, String... jvmOptions)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(jvmOptions));
        command.addAll(
                List.of("-cp", System.getProperty("java.class.path"), "frostrelay.node.Main"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().remove("GW_CONFIG");
        builder.environment().put("TMPDIR", sharedDirectory.toString());
        if (config != null) {
            builder.environment().put("GW_CONFIG", config);
        }
        return builder.start();
    }

    static BufferedReader openLog(Process process) {
        return new BufferedReader(
                new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
    }

    static int awaitExitCode(Process process) throws InterruptedException {
        try {
            assertTrue(process.waitFor(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            return process.exitValue();
        } finally {
            process.destroyForcibly();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static void awaitLine(BufferedReader log, String text) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertTrue(line != null, text);
    }
}
