package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.time.Clock;

import io.netty.util.concurrent.Future;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A graceful shutdown loses no request that was accepted. */
class StopTest {
    /** SIGKILL may follow SIGTERM after the longest deadline plus this delay. */
    private static final int KILL_AFTER_LONGEST_MILLIS = 700;

    private static final int[] LATE_REQUEST_DELAYS_MILLIS = {
        50, 300, 500, 650, 750, 840, 1_000, 1_200, 1_350
    };
    @TempDir Path folder;

    @Test
    void aStopAcceptsRequestsForSomeTimeAndCompletesOpenOnes() throws Exception {
        String value = "v".repeat(MetaFrame.MAX_BUFFERED_VALUE_BYTES);
        FakeServer[] fakeServer = new FakeServer[1];
        fakeServer[0] =
                new FakeServer(
                        connection -> {
                            String command = fakeServer[0].readCommand(connection);
                            while (command != null) {
                                if (command.contains(" Olong ")) {
                                    try {
                                        Thread.sleep(1_500);
                                    } catch (InterruptedException e) {
                                        return;
                                    }
                                }
                                connection.write(FakeServer.valueResponse(command, value));
                                command = fakeServer[0].readCommand(connection);
                            }
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection idleClient = fixture.client();
                TestConnection busyClient = fixture.slowClient()) {
            assertEquals("MN", idleClient.request("mn"));
            busyClient.write("mg 1 v Olong Pc=read,t=acme,d=9000\r\n");
            fakeServer[0].awaitCommand();
            Future<?> stopped =
                    fixture.loop.submit(() -> fixture.node.stop(false, Clock.now())).get().ended();
            try (TestConnection lateClient = fixture.client()) {
                assertEquals(
                        "VA 65536 O1",
                        lateClient.request(NodeTestFixture.READ),
                        "new clients are accepted for some time after the stop");
                lateClient.readData(value.length());
                assertEquals(null, lateClient.readLine(), "closed when idle");
            }
            assertEquals(null, idleClient.readLine());
            assertFalse(stopped.isDone(), "a request is open");
            assertEquals("VA 65536 Olong", busyClient.readLine());
            assertEquals(
                    value,
                    busyClient.readData(value.length()),
                    "the value is complete although the connection closes after it");
            assertEquals(null, busyClient.readLine());
            assertTrue(stopped.await(TestConnection.TIMEOUT_MILLIS));
            assertThrows(IOException.class, fixture::client);
        }
    }

    /**
     * Requests that arrive too late to be answered must be rejected, including all commands of one
     * read, not only the first.
     */
    @Test
    void allRequestsThatArriveTooLateAreRejected() throws Exception {
        BlockingQueue<String> gate = new LinkedBlockingQueue<>();
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command -> {
                            try {
                                gate.take();
                                return FakeServer.successResponse(command);
                            } catch (InterruptedException e) {
                                return null;
                            }
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            client.write(NodeTestFixture.NON_IDEMPOTENT_WRITE.replace("O2", "Oheld") + "\r\n");
            assertTrue(fakeServer.awaitCommand() != null);
            fixture.loop.submit(() -> fixture.node.stop(false, Clock.now())).get();
            // With deadlines of 10 s, a request that arrives more than 600 ms after the stop cannot
            // be answered in time.
            Thread.sleep(800);
            client.write(
                    NodeTestFixture.NON_IDEMPOTENT_WRITE
                            + "\r\n"
                            + NodeTestFixture.IDEMPOTENT_WRITE
                            + "\r\n");
            gate.add("continue");
            assertEquals("HD Oheld c77", client.readLine());
            assertEquals("SERVER_ERROR busy", client.readLine());
            assertEquals("SERVER_ERROR busy", client.readLine());
            assertTrue(client.closesGracefully());
            assertEquals(0, fakeServer.commands.size());
        }
    }

    private Process startProcess(String config) throws IOException {
        return startProcess(config, folder);
    }

    static Process startProcess(String config, Path sharedDirectory) throws IOException {
        return BalancerProcess.start(config, sharedDirectory);
    }

    static int freePort() throws IOException {
        return BalancerProcess.freePort();
    }

    @Test
    void theProcessServesAndExitsWithZeroOnSigterm() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), fixture.config("127.0.0.1:" + port));
            Process process = startProcess(config.toString());
            try {
                BalancerProcess.awaitLine(
                        BalancerProcess.openLog(process), BalancerProcess.SERVING_EVENT);
                try (TestConnection client =
                        new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
                    assertEquals("MN", client.request("mn"));
                    assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
                    process.destroy();
                    assertEquals(
                            "HD O2 c77",
                            client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE),
                            "served after SIGTERM");
                    client.awaitClose();
                }
            } finally {
                assertEquals(0, BalancerProcess.awaitExitCode(process));
            }
        }
    }

    /**
     * With unresponsive caches, a request that arrives at any time during the shutdown must be
     * answered before the earliest possible SIGKILL.
     */
    @Test
    void everyRequestDuringAShutdownIsAnsweredBeforeSigkill() throws Exception {
        FakeServer unresponsiveServer = FakeServer.respondingWith(command -> null);
        try (NodeTestFixture fixture = new NodeTestFixture(unresponsiveServer)) {
            fixture.deadlineMillis = 1_500;
            fixture.latencyObjectiveMillis = 1_500;
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), fixture.config("127.0.0.1:" + port));
            Process process = startProcess(config.toString());
            List<TestConnection> clients = new ArrayList<>();
            try {
                BalancerProcess.awaitLine(
                        BalancerProcess.openLog(process), BalancerProcess.SERVING_EVENT);
                for (int i = 0; i < LATE_REQUEST_DELAYS_MILLIS.length; i++) {
                    TestConnection client =
                            new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
                    clients.add(client);
                    // Keeps the connection open, so that later requests do not cross a close.
                    client.write(nonIdempotentWrite("early" + i));
                }
                for (int i = 0; i < LATE_REQUEST_DELAYS_MILLIS.length; i++) {
                    assertTrue(
                            unresponsiveServer.awaitCommand() != null,
                            "all early requests were forwarded");
                }
                process.destroy();
                long signalledAtNanos = System.nanoTime();
                for (int i = 0; i < LATE_REQUEST_DELAYS_MILLIS.length; i++) {
                    sleepUntil(signalledAtNanos, LATE_REQUEST_DELAYS_MILLIS[i]);
                    clients.get(i).write(nonIdempotentWrite("late" + i));
                }
                sleepUntil(signalledAtNanos, fixture.deadlineMillis + KILL_AFTER_LONGEST_MILLIS);
                process.destroyForcibly();
                for (int i = 0; i < LATE_REQUEST_DELAYS_MILLIS.length; i++) {
                    assertTrue(
                            isFinalResponse(clients.get(i).readLine()),
                            "the early request on connection " + i);
                    assertTrue(
                            isFinalResponse(clients.get(i).readLine()),
                            "a request " + LATE_REQUEST_DELAYS_MILLIS[i] + " ms after SIGTERM");
                }
            } finally {
                process.destroyForcibly();
                for (TestConnection client : clients) {
                    client.close();
                }
            }
        }
    }

    private static String nonIdempotentWrite(String id) {
        return "ms 7f3a9c21e0b4d655 5 O" + id + " Pc=copy,t=acme,d=1500\r\nhello\r\n";
    }

    private static boolean isFinalResponse(String response) {
        return response != null
                && (response.startsWith("HD ") || response.startsWith("SERVER_ERROR "));
    }

    private static void sleepUntil(long startNanos, long millis) throws InterruptedException {
        Thread.sleep(
                Math.max(
                        0,
                        millis - (System.nanoTime() - startNanos) / Clock.NANOS_PER_MILLISECOND));
    }

    /**
     * Accepting a whole burst of connections before handling any would exhaust the file descriptors
     * and end the event loop.
     */
    @Test
    void aBurstOfConnectionsDoesNotExhaustDescriptors() throws Exception {
        List<TestConnection> burstConnections = new ArrayList<>();
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.socketLimit = 96;
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), fixture.config("127.0.0.1:" + port));
            ProcessBuilder builder =
                    new ProcessBuilder(
                            "sh",
                            "-c",
                            "ulimit -n 96; exec \"$0\" \"$@\"",
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "frostrelay.node.Main");
            builder.environment().put("GW_CONFIG", config.toString());
            Process process = builder.start();
            try {
                BalancerProcess.awaitLine(
                        BalancerProcess.openLog(process), BalancerProcess.SERVING_EVENT);
                for (int i = 0; i < 600; i++) {
                    burstConnections.add(
                            new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port)));
                }
                String response = null;
                long endNanos = System.nanoTime() + TestConnection.TIMEOUT_MILLIS * 1_000_000L;
                while (!"HD O2 c77".equals(response) && System.nanoTime() < endNanos) {
                    try (TestConnection client =
                            new TestConnection(
                                    new Socket(InetAddress.getLoopbackAddress(), port))) {
                        response = client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE);
                    } catch (IOException e) {
                        response = null;
                    }
                }
                assertEquals("HD O2 c77", response);
                process.destroy();
            } finally {
                for (TestConnection connection : burstConnections) {
                    connection.close();
                }
                assertEquals(0, BalancerProcess.awaitExitCode(process));
            }
        }
    }

    /**
     * The new process serves at the same address before the old one ends, and no request is
     * rejected in the meantime.
     */
    @Test
    void aSecondProcessTakesOverWithoutLosingRequests() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            int port = freePort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"), fixture.config("127.0.0.1:" + port));
            Path sharedDirectory = Files.createDirectory(folder.resolve("shared"));
            Process oldProcess = startProcess(config.toString(), sharedDirectory);
            try {
                BufferedReader oldLog = BalancerProcess.openLog(oldProcess);
                BalancerProcess.awaitLine(oldLog, BalancerProcess.SERVING_EVENT);
                Process newProcess = startProcess(config.toString(), sharedDirectory);
                try {
                    BalancerProcess.awaitLine(
                            BalancerProcess.openLog(newProcess), BalancerProcess.SERVING_EVENT);
                    BalancerProcess.awaitLine(oldLog, "\"event\":\"peer-process-serving\"");
                    oldProcess.destroy();
                    while (oldProcess.isAlive()) {
                        String response = requestOnce(port);
                        // Connections pending when the old socket closes are retried, as clients
                        // do.
                        assertEquals("HD O2 c77", response == null ? requestOnce(port) : response);
                    }
                    assertEquals(0, BalancerProcess.awaitExitCode(oldProcess));
                    newProcess.destroy();
                } finally {
                    assertEquals(0, BalancerProcess.awaitExitCode(newProcess));
                }
            } finally {
                BalancerProcess.awaitExitCode(oldProcess);
            }
        }
    }

    private static String requestOnce(int port) throws IOException {
        try (TestConnection client =
                new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
            return client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE);
        }
    }
}
