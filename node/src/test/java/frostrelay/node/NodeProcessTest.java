package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

/** The balancer as a process: failures to start, and reloads by signal and by polling. */
class NodeProcessTest {
    @TempDir Path folder;

    /** Without a handler, SIGHUP would end the JVM and lose all accepted requests. */
    @Test
    void sighupReloadsTheConfiguration() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            int port = BalancerProcess.freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), fixture.config("127.0.0.1:" + port));
            Process process = BalancerProcess.start(config.toString(), folder);
            try {
                BufferedReader log = BalancerProcess.openLog(process);
                BalancerProcess.awaitLine(log, BalancerProcess.SERVING_EVENT);
                try (TestConnection client =
                        new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
                    for (String broken : new String[] {"{", "", "{\"listen\":\"127.0.0.1:1\"}"}) {
                        Files.writeString(config, broken);
                        sendSighup(process);
                        BalancerProcess.awaitLine(log, "\"event\":\"settings-rejected\"");
                    }
                    fixture.discovery = "127.0.0.1:2";
                    Files.writeString(config, fixture.config("127.0.0.1:" + port));
                    sendSighup(process);
                    sendSighup(process);
                    BalancerProcess.awaitLine(log, "\"event\":\"discovery-address-changed\"");
                    assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
                    process.destroy();
                }
            } finally {
                assertEquals(0, BalancerProcess.awaitExitCode(process));
            }
        }
    }

    /**
     * Under nohup and some supervisors SIGHUP is ignored, and the JVM silently keeps it ignored:
     * new configurations must be detected without the signal.
     */
    @Test
    void theFileIsPolledIfSighupIsIgnored() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            int port = BalancerProcess.freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), fixture.config("127.0.0.1:" + port));
            ProcessBuilder builder =
                    new ProcessBuilder(
                            "sh",
                            "-c",
                            "trap '' HUP; exec \"$0\" \"$@\"",
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "frostrelay.node.Main");
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            Process process = builder.start();
            try {
                BufferedReader log = BalancerProcess.openLog(process);
                BalancerProcess.awaitLine(log, "\"event\":\"signal-ignored\"");
                Files.writeString(config, "{");
                sendSighup(process);
                BalancerProcess.awaitLine(log, "\"event\":\"settings-rejected\"");
                fixture.discovery = "127.0.0.1:2";
                Files.writeString(config, fixture.config("127.0.0.1:" + port));
                BalancerProcess.awaitLine(log, "\"event\":\"discovery-address-changed\"");
                process.destroy();
            } finally {
                assertEquals(0, BalancerProcess.awaitExitCode(process));
            }
        }
    }

    @Test
    void withoutAValidConfigurationTheProcessLogsOneLineAndFails() throws Exception {
        Path broken = Files.writeString(folder.resolve("broken.json"), "{\"listen\":");
        for (String config :
                new String[] {null, folder.resolve("missing.json").toString(), broken.toString()}) {
            Process process = BalancerProcess.start(config, folder);
            assertEquals(1, BalancerProcess.openLog(process).lines().count());
            assertEquals(1, BalancerProcess.awaitExitCode(process));
        }
    }

    @Test
    void theProcessFailsIfItsAddressIsInUse() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture();
                ServerSocket occupiedSocket =
                        new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"),
                            fixture.config("127.0.0.1:" + occupiedSocket.getLocalPort()));
            Process process = BalancerProcess.start(config.toString(), folder);
            assertEquals(
                    1,
                    BalancerProcess.openLog(process)
                            .lines()
                            .filter(line -> line.contains("\"event\":\"cannot-start\""))
                            .count());
            assertEquals(1, BalancerProcess.awaitExitCode(process));
        }
    }

    private static void sendSighup(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }
}
