package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.lifecycle.SharedDirectory;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

/** Long values that are being passed on at SIGTERM come whole if no SIGKILL follows. */
class ShutdownTransferTest {
    private static final int VALUE_BYTES = 2 * 1024 * 1024;
    private static final int PIECE_BYTES = VALUE_BYTES / 128;

    /** Without transfers, the process exits 3.4 s after SIGTERM with deadlines of 1 s. */
    private static final long EXIT_MILLIS = 3_400;

    private static final long TRANSFER_MILLIS = 7_000;
    private static final String GIVEN_SLOWLY = "slow";
    private static final String GIVEN_IN_PART = "part";

    @TempDir Path directory;
    private NodeTestFixture fixture;
    private Process process;
    private int port;

    @BeforeEach
    void start() throws Exception {
        fixture = new NodeTestFixture(newServer());
        fixture.deadlineMillis = 1_000;
        port = BalancerProcess.freePort();
        Path config = directory.resolve("config.json");
        Files.writeString(config, fixture.config("127.0.0.1:" + port));
        process = BalancerProcess.startAsDeployed(config.toString(), directory);
        BalancerProcess.awaitLine(BalancerProcess.openLog(process), BalancerProcess.SERVING_EVENT);
    }

    @AfterEach
    void stop() throws Exception {
        process.destroyForcibly().waitFor();
        fixture.close();
    }

    private static FakeServer newServer() throws IOException {
        FakeServer[] server = new FakeServer[1];
        server[0] =
                new FakeServer(
                        connection -> {
                            String command = server[0].readCommand(connection);
                            String opaque = FakeServer.opaque(command);
                            connection.write("VA " + VALUE_BYTES + " " + opaque + " h1\r\n");
                            if (command.contains(GIVEN_IN_PART)) {
                                connection.write(new byte[PIECE_BYTES * 8]);
                            } else {
                                giveValue(connection, command.contains(GIVEN_SLOWLY));
                            }
                            server[0].readCommand(connection);
                        });
        return server[0];
    }

    private static void giveValue(TestConnection connection, boolean isSlow) throws IOException {
        for (int sent = 0; sent < VALUE_BYTES; sent += PIECE_BYTES) {
            if (isSlow) {
                sleep(TRANSFER_MILLIS * PIECE_BYTES / VALUE_BYTES);
            }
            connection.write(new byte[PIECE_BYTES]);
        }
        connection.write("\r\n");
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private TestConnection client() throws IOException {
        return new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    private static String read(String key) {
        return "mg %s v O%s Pc=read,t=acme,d=1000".formatted(key, key);
    }

    /**
     * Guards against a planned restart that cuts off values which their caches still give, or their
     * clients still read.
     */
    @Test
    void valuesThatMoveAtSigtermComeWhole() throws Exception {
        int readerBytesPerSecond = (int) (VALUE_BYTES * 1_000L / TRANSFER_MILLIS);
        try (TestConnection client = client();
                EvenReader reader =
                        new EvenReader(port, read("fast") + "\r\n", readerBytesPerSecond)) {
            assertEquals("VA " + VALUE_BYTES + " Oslow", client.request(read(GIVEN_SLOWLY)));
            long stoppedNanos = System.nanoTime();
            process.destroy();
            assertEquals(VALUE_BYTES, client.readData(VALUE_BYTES).length());
            assertTrue(millisSince(stoppedNanos) > EXIT_MILLIS, "given after the usual exit");
            assertEquals(0, BalancerProcess.awaitExitCode(process));
            Thread.sleep(2_000);
            assertTrue(reader.receivedBytes() > VALUE_BYTES, "bytes: " + reader.receivedBytes());
        }
    }

    /** Guards against a process that keeps what its successor needs while a value moves. */
    @Test
    void aProcessThatAwaitsValuesIsNoLongerRegisteredAsServing() throws Exception {
        try (TestConnection client = client();
                SharedDirectory shared = new SharedDirectory(directory, "other")) {
            client.request(read(GIVEN_SLOWLY));
            assertTrue(shared.hasServingPeers(1_000));
            process.destroy();
            Thread.sleep(EXIT_MILLIS + 1_000);
            assertTrue(process.isAlive());
            assertFalse(shared.hasServingPeers(1_000));
        }
    }

    /** Guards against peers that give or take nothing, or nearly so, and delay the exit. */
    @Test
    void stalledTransfersDoNotDelayTheExit() throws Exception {
        try (TestConnection client = client();
                EvenReader reader = new EvenReader(port, read("fast") + "\r\n", 100);
                TestConnection idle = client()) {
            assertEquals("MN", idle.request("mn"));
            assertEquals("VA " + VALUE_BYTES + " Opart", client.request(read(GIVEN_IN_PART)));
            Thread.sleep(300);
            long stoppedNanos = System.nanoTime();
            process.destroy();
            assertEquals(0, BalancerProcess.awaitExitCode(process));
            long tookMillis = millisSince(stoppedNanos);
            assertTrue(reader.receivedBytes() < VALUE_BYTES);
            assertTrue(tookMillis < EXIT_MILLIS + 600, "exit after ms: " + tookMillis);
        }
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
