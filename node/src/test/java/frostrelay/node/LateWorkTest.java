package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.config.Json;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.Server;

import io.netty.util.concurrent.Future;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Requests are accepted, started, retried and given timeouts only within the time that remains for
 * their client, their server and this process.
 */
class LateWorkTest {
    private static final String NON_IDEMPOTENT_WRITE_HEAD = "ms 7f3a9c21e0b4d655 5 O";
    @TempDir Path folder;

    private static String nonIdempotentWrite(String id, int timeoutMillis) {
        return NON_IDEMPOTENT_WRITE_HEAD
                + id
                + " Pc=copy,t=acme,d="
                + timeoutMillis
                + "\r\nhello\r\n";
    }

    private static Future<Void> startShutdown(NodeTestFixture fixture) throws Exception {
        return fixture.loop.submit(() -> fixture.node.stop(false, Clock.now())).get().ended();
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / Clock.NANOS_PER_MILLISECOND;
    }

    // Shutdown.

    /**
     * A shutdown allows 3 s for open requests: a client with a timeout of 9 s still gets its
     * response before the process is killed.
     */
    @Test
    void openRequestsWithLongTimeoutsAreAnsweredBeforeTheKillAtAShutdown() throws Exception {
        try (NodeTestFixture fixture =
                        new NodeTestFixture(FakeServer.respondingWith(command -> null)).start();
                TestConnection client = fixture.client()) {
            client.write(nonIdempotentWrite("long", 9_000));
            assertTrue(fixture.fakeServers.get(0).awaitCommand() != null);
            long startNanos = System.nanoTime();
            Future<Void> stopped = startShutdown(fixture);
            assertEquals("SERVER_ERROR failed", client.readLine(), "the write may have run");
            assertTrue(millisSince(startNanos) < 3_700, "in " + millisSince(startNanos) + " ms");
            client.disconnect();
            assertTrue(stopped.await(TestConnection.TIMEOUT_MILLIS));
            assertTrue(millisSince(startNanos) < 3_700, "the process stops before the kill");
        }
    }

    @Test
    void aRequestReceivedInPartBeforeAShutdownIsRejectedOnceComplete() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            fixture.fakeServers.get(0).awaitCommand();
            client.write(NON_IDEMPOTENT_WRITE_HEAD);
            fixture.awaitGauges(Map.of("clients", 1, "open", 0));
            Thread.sleep(50);
            startShutdown(fixture);
            Thread.sleep(1_500);
            client.write("slow Pc=copy,t=acme,d=9000\r\nhello\r\n");
            assertEquals("SERVER_ERROR busy", client.readLine());
            assertNull(client.readLine());
            assertEquals(0, fixture.fakeServers.get(0).commands.size());
        }
    }

    /** A shutdown before the process listens must not fail for lack of a listening socket. */
    @Test
    void aProcessThatIsTerminatedBeforeItServesExits() throws Exception {
        try (ServerSocket unresponsiveSocket =
                        new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.endpointsPushed = true;
            fixture.discovery = "127.0.0.1:" + unresponsiveSocket.getLocalPort();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"),
                            fixture.config("127.0.0.1:" + StopTest.freePort()));
            Process process = StopTest.startProcess(config.toString(), folder);
            try {
                unresponsiveSocket.setSoTimeout(TestConnection.TIMEOUT_MILLIS);
                unresponsiveSocket.accept();
                process.destroy();
                assertTrue(process.waitFor(3_700, TimeUnit.MILLISECONDS), "before SIGKILL");
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * A shutdown during a drain follows its own schedule, which the end of the drain does not
     * change.
     */
    @Test
    void aShutdownIsNotEndedByTheEndOfADrain() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
            fixture.loop.submit(fixture.node::startDrain).get();
            Future<Void> stopped = startShutdown(fixture);
            fixture.loop.submit(fixture.node::stopDrain).get();
            assertFalse(fixture.node.isReady());
            assertTrue(stopped.await(3_700));
        }
    }

    /**
     * A class that a new configuration no longer contains is ignored when the longest deadline is
     * determined.
     */
    @Test
    void longestDeadlineIgnoresClassesRemovedByANewConfiguration() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture()) {
            fixture.deadlineMillis = 1_000;
            Object before =
                    Json.parse(
                            fixture.settings()
                                    .replaceFirst(
                                            "\"deadline-ns\":1000000000",
                                            "\"deadline-ns\":2500000000")
                                    .getBytes());
            DeploymentSettings settings = new DeploymentSettings(Json.object(before));
            assertEquals(2_500 * Clock.NANOS_PER_MILLISECOND, settings.longestDeadlineNanos());
            Object after =
                    Json.parse(
                            fixture.settings()
                                    .replaceFirst("\\{\"name\":\"read\"[^}]*},", "")
                                    .getBytes());
            assertEquals(
                    1_000 * Clock.NANOS_PER_MILLISECOND,
                    settings.replacedBy(Json.object(after), Clock.now()).longestDeadlineNanos());
        }
    }

    // Queued commands.

    /**
     * A client's timeout keeps running while its command is queued, so the server is given only the
     * remaining time.
     */
    @Test
    void queueingTimeIsSubtractedFromTheTimeoutSentToAServer() throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command -> {
                            NodeTestFixture.await(gate);
                            return FakeServer.successResponse(command);
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            client.write(NodeTestFixture.pipelinedReads(65, ""));
            for (int i = 0; i < 64; i++) {
                assertTrue(fakeServer.awaitCommand() != null);
            }
            Thread.sleep(800);
            gate.countDown();
            String last = fakeServer.awaitCommand();
            assertTrue(last.contains(" O64 "), last);
            int announcedTimeout = Integer.parseInt(last.replaceAll(".*d=", ""));
            assertTrue(announcedTimeout <= 9_000 - 800 + 150, "given " + announcedTimeout);
        }
    }

    /**
     * Even after the longest stall between reading the clock and writing, the server is given no
     * more time than allowed.
     */
    @Test
    void theTimeoutSentToAServerIsShorterThanTheClients() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand()).start();
                TestConnection client = fixture.client()) {
            assertEquals(
                    "HD Oa c77", client.request(nonIdempotentWrite("a", 4_000).stripTrailing()));
            int announcedTimeout =
                    Integer.parseInt(
                            fixture.fakeServers
                                    .get(0)
                                    .awaitCommand()
                                    .replaceAll(".*d=(\\d+).*", "$1"));
            assertTrue(
                    announcedTimeout <= 3_940 && announcedTimeout > 3_000,
                    "given " + announcedTimeout);
        }
    }

    /**
     * A disconnect is not detected while more bytes are waiting than are read ahead. Even then no
     * command may be started long after the disconnect.
     */
    @Test
    void commandsBeyondTheReadAheadOfADisconnectedClientAreNotStarted() throws Exception {
        List<Long> startTimesNanos = new ArrayList<>();
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command -> {
                            synchronized (startTimesNanos) {
                                startTimesNanos.add(System.nanoTime());
                            }
                            pause(400);
                            return FakeServer.successResponse(command);
                        });
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection first = fixture.client()) {
            // Opens connections and warms up the code.
            first.write(NodeTestFixture.pipelinedReads(64, ""));
            for (int i = 0; i < 64; i++) {
                first.readLine();
                first.readLine();
            }
            startTimesNanos.clear();
            String commands = NodeTestFixture.pipelinedReads(8_000, "");
            long disconnectedAtNanos;
            try (TestConnection client = fixture.client()) {
                client.write(commands);
                disconnectedAtNanos = System.nanoTime();
            }
            fixture.awaitGauges(Map.of("open", 0, "clients", 1));
            synchronized (startTimesNanos) {
                long lateStarts =
                        startTimesNanos.stream()
                                .filter(
                                        startedAtNanos ->
                                                startedAtNanos - disconnectedAtNanos
                                                        > 100 * Clock.NANOS_PER_MILLISECOND)
                                .count();
                assertEquals(0, lateStarts, "of " + startTimesNanos.size() + " commands started");
            }
        }
    }

    // Sends and retries.

    /** A policy that sends each request again after 700 ms, regardless of its class. */
    private static final class ResendingPolicy extends NoOpPolicy {
        private long serverId;

        ResendingPolicy(PolicyActions actions) {
            super(actions);
        }

        @Override
        public void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers) {
            serverId = servers.isEmpty() ? serverId : servers.get(0).id();
        }

        @Override
        public void onRequest(long now, Request request) {
            actions.send(request.id(), serverId, request.deadlineNanos());
            actions.scheduleTimer(now + 700 * Clock.NANOS_PER_MILLISECOND, (int) request.id());
        }

        @Override
        public void onTimer(long now, int token) {
            actions.send(token, serverId, 0);
        }
    }

    private static int countSends(String command, UnaryOperator<String> settingsTransform)
            throws Exception {
        FakeServer fakeServer = FakeServer.respondingWith(c -> null);
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer)) {
            fixture.policyFactory = (parsed, seed, actions) -> new ResendingPolicy(actions);
            fixture.settingsTransform = settingsTransform;
            fixture.start();
            try (TestConnection client = fixture.client()) {
                client.write(command);
                assertTrue(fakeServer.awaitCommand() != null);
                Thread.sleep(1_000);
                return 1 + fakeServer.commands.size();
            }
        }
    }

    /**
     * The check immediately before the write prevents a second execution of a non-idempotent write
     * even if the policy has decided to send it again.
     */
    @Test
    void aNonIdempotentAttemptThatMayHaveRunIsNotResent() throws Exception {
        assertEquals(
                1,
                countSends(nonIdempotentWrite("u", 9_000), UnaryOperator.identity()),
                "a non-idempotent write is sent only once");
        String idempotentWrite = NodeTestFixture.IDEMPOTENT_WRITE + "\r\n";
        assertEquals(
                2,
                countSends(idempotentWrite, UnaryOperator.identity()),
                "within the deduplication window");
        assertEquals(
                1,
                countSends(
                        idempotentWrite,
                        text ->
                                text.replace(
                                        "\"window-ns\":5000000000", "\"window-ns\":800000000")),
                "the window may end before a stalled process has written the retry");
    }

    /**
     * After a pause of the process, connections may have been idle for longer than the idle timeout
     * of their servers. A write on such a connection might be lost.
     */
    @Test
    void connectionsIdleForTooLongAreNotUsedAfterAPause() throws Exception {
        try (NodeTestFixture fixture = new NodeTestFixture(FakeServer.servingAnyCommand())) {
            fixture.idleTimeoutMillis = 1_000;
            fixture.start();
            try (TestConnection client = fixture.client()) {
                assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
                BlockingQueue<String> paused = new LinkedBlockingQueue<>();
                fixture.loop.execute(
                        () -> {
                            paused.add("paused");
                            pause(900);
                        });
                paused.take();
                assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
                assertEquals(2, fixture.fakeServers.get(0).connections.get());
            }
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
