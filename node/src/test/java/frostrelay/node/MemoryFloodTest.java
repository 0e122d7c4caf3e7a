package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Guards against floods that use up the process's memory: other clients of the balancer, started as
 * it is deployed, are answered in time during a flood and after it.
 */
class MemoryFloodTest {
    private static final int USUAL_CLIENTS = 20;
    private static final int USUAL_TIMEOUT_MILLIS = 1_500;

    /** An answer up to half a second late is only worth nothing. */
    private static final int ANSWERED_WITHIN_MILLIS = USUAL_TIMEOUT_MILLIS + 550;

    /** Answers are prompt again this long after a flood has ended. */
    private static final long RECOVERY_MILLIS = 1_000;

    private static final int FLOOD_MILLIS = 4_000;
    private static final String LONG_VALUE = "v".repeat(60_000);

    @TempDir Path directory;
    private final List<TestConnection> usualClients = new ArrayList<>();
    private final List<Socket> floodSockets = new ArrayList<>();
    private NodeTestFixture fixture;
    private Process process;
    private int port;
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        fixture = new NodeTestFixture(newServer(), newServer(), newServer(), newServer());
        Path config = directory.resolve("config.json");
        port = BalancerProcess.freePort();
        Files.writeString(config, fixture.config("127.0.0.1:" + port));
        Path sharedDirectory = Files.createDirectory(directory.resolve("shared"));
        process = BalancerProcess.startAsDeployed(config.toString(), sharedDirectory);
        BalancerProcess.awaitLine(BalancerProcess.openLog(process), BalancerProcess.SERVING_EVENT);
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            usualClients.add(
                    new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port)));
            assertEquals("MN", usualClients.get(i).request("mn"));
        }
    }

    /** A server whose values are long for keys that begin with f, and short for others. */
    private static FakeServer newServer() throws IOException {
        return FakeServer.respondingWith(
                command ->
                        FakeServer.valueResponse(
                                command, command.startsWith("mg f") ? LONG_VALUE : "short"));
    }

    @AfterEach
    void stop() throws Exception {
        process.destroyForcibly().waitFor();
        for (TestConnection client : usualClients) {
            client.close();
        }
        endFlood();
        fixture.close();
    }

    private void endFlood() throws IOException {
        for (Socket socket : floodSockets) {
            socket.close();
        }
        floodSockets.clear();
    }

    /** Sends bytes on new connections, which stay open and read nothing. */
    private void flood(int connections, String bytes) throws Exception {
        for (int i = 0; i < connections; i++) {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(4096);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            floodSockets.add(socket);
            byte[] text = bytes.replace("Ox", "O" + i + "x").getBytes(StandardCharsets.ISO_8859_1);
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    socket.getOutputStream().write(text);
                                } catch (IOException e) {
                                    // The balancer may close a connection of a flood.
                                }
                            });
            writer.setDaemon(true);
            writer.start();
        }
    }

    private long slowestUsualAnswerMillis(long forMillis) throws Exception {
        long slowest = 0;
        long endNanos = System.nanoTime() + forMillis * 1_000_000;
        for (int i = 0; System.nanoTime() < endNanos; i = (i + 1) % USUAL_CLIENTS) {
            long startNanos = System.nanoTime();
            String command =
                    "mg %d v Ou%d Pc=read,t=acme,d=%d"
                            .formatted(i, ++requestCount, USUAL_TIMEOUT_MILLIS);
            String line = usualClients.get(i).request(command);
            assertTrue(line != null, "closed instead of an answer");
            if (line.startsWith("VA ")) {
                usualClients.get(i).readData(Integer.parseInt(line.split(" ")[1]));
            }
            slowest = Math.max(slowest, (System.nanoTime() - startNanos) / 1_000_000);
            Thread.sleep(5);
        }
        return slowest;
    }

    private void assertOthersAreAnswered() throws Exception {
        long duringFlood = slowestUsualAnswerMillis(FLOOD_MILLIS);
        assertTrue(duringFlood < ANSWERED_WITHIN_MILLIS, "during the flood, ms: " + duringFlood);
        endFlood();
        Thread.sleep(RECOVERY_MILLIS);
        long afterFlood = slowestUsualAnswerMillis(RECOVERY_MILLIS);
        assertTrue(afterFlood < RECOVERY_MILLIS, "after the flood, ms: " + afterFlood);
        assertTrue(process.isAlive());
        process.destroy();
        assertEquals(0, BalancerProcess.awaitExitCode(process));
    }

    private static String reads(int count, String keyPrefix) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append("mg ")
                    .append(keyPrefix)
                    .append("%090x".formatted(i))
                    .append(" v Ox")
                    .append(i)
                    .append(" Pc=read,t=acme,d=2000\r\n");
        }
        return commands.toString();
    }

    @Test
    void manyClientsThatSendManyCommandsAtOnce() throws Exception {
        flood(380, reads(500, "0"));
        assertOthersAreAnswered();
    }

    @Test
    void manyTinyCommandsWhoseAnswersAreNotRead() throws Exception {
        flood(200, "mn\r\n".repeat(400_000));
        assertOthersAreAnswered();
    }

    @Test
    void manyValuesThatStopBeforeTheirEnd() throws Exception {
        flood(350, "ms 1 64000 Ox Pc=put,t=acme,d=2000,k=1\r\n" + "x".repeat(63_000));
        assertOthersAreAnswered();
    }

    @Test
    void manyClientsThatDoNotReadLongValues() throws Exception {
        flood(120, reads(120, "f"));
        assertOthersAreAnswered();
    }
}
