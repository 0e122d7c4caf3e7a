package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.policy.Router;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;

/**
 * A balancer that is slow itself, after a start or with a small CPU share, must not mistake its own
 * delays for load of the servers.
 */
class LocalLatenessTest {
    private static final int READ_COUNT = 60;
    private static final long LATENCY_OBJECTIVE_MILLIS = 2_000;

    private static void assertServed(TestConnection client, int from, int to) throws IOException {
        for (int i = from; i < to; i++) {
            assertEquals(
                    "VA 1 O" + i,
                    client.request("mg " + i + " v O" + i + " Pc=read,t=acme,d=9000"));
            client.readData(1);
        }
    }

    /**
     * A server may reject a request without a load report, if the client has disconnected in the
     * meantime. Such rejections must not cause load shedding.
     */
    @Test
    void rejectionsWithoutALoadReportDoNotCauseLoadShedding() throws Exception {
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        c ->
                                c.startsWith("mg over")
                                        ? "SERVER_ERROR busy\r\n"
                                        : FakeServer.valueResponse(c, "x"));
        try (NodeTestFixture fixture = new NodeTestFixture(fakeServer).start();
                TestConnection client = fixture.client()) {
            assertServed(client, 0, 1);
            for (int i = 0; i < 60; i++) {
                assertEquals(
                        "SERVER_ERROR busy",
                        client.request("mg over" + i + " v Oover Pc=read,t=acme,d=9000"));
            }
            assertServed(client, 1, 40);
        }
    }

    /**
     * A wrapper of the real policy that stalls the event loop while the last request is accepted.
     * The first {@code READ_COUNT} requests only open connections and do not reach the real policy;
     * the stall is at the last of the next {@code READ_COUNT} requests.
     */
    private static final class StallingPolicy extends NoOpPolicy {
        private final Router router;
        private final CountDownLatch answered;
        private long serverId;
        private int requestCount;

        StallingPolicy(
                PolicySettings settings,
                long seed,
                PolicyActions actions,
                CountDownLatch answered) {
            super(actions);
            this.router = new Router(settings, seed, actions);
            this.answered = answered;
        }

        @Override
        public void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers) {
            serverId = servers.isEmpty() ? serverId : servers.get(0).id();
            router.onEndpointUpdate(now, mode, servers);
        }

        @Override
        public void onRequest(long now, Request request) {
            requestCount++;
            if (requestCount <= READ_COUNT) {
                actions.send(request.id(), serverId, request.deadlineNanos());
                return;
            }
            router.onRequest(now, request);
            if (requestCount == 2 * READ_COUNT) {
                try {
                    answered.await(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                sleep(LATENCY_OBJECTIVE_MILLIS);
            }
        }

        private static void sleep(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void onAttemptOutcome(long now, AttemptOutcome outcome) {
            router.onAttemptOutcome(now, outcome);
        }

        @Override
        public void onTimer(long now, int token) {
            router.onTimer(now, token);
        }
    }

    private static void assertPipelinedReadsServed(TestConnection client) throws IOException {
        client.write(NodeTestFixture.pipelinedReads(READ_COUNT, "r"));
        for (int i = 0; i < READ_COUNT; i++) {
            assertEquals("VA 1 Or" + i, client.readLine());
            client.readData(1);
        }
    }

    /**
     * Without a retry time in rejections, the retries of clients would multiply as more requests
     * are rejected.
     */
    @Test
    void rejectionsUnderOverloadCarryARetryTime() throws Exception {
        FakeServer overloadedServer =
                FakeServer.respondingWith(c -> "SERVER_ERROR busy Lutil=1.0\r\n");
        try (NodeTestFixture fixture = new NodeTestFixture(overloadedServer).start();
                TestConnection client = fixture.client()) {
            int rejectionsWithRetryAfter = 0;
            for (int i = 0; i < 200; i++) {
                String response = client.request("mg " + i + " v O" + i + " Pc=read,t=acme,d=9000");
                assertTrue(response.startsWith("SERVER_ERROR busy"), response);
                rejectionsWithRetryAfter +=
                        response.length() > "SERVER_ERROR busy".length() ? 1 : 0;
            }
            assertTrue(
                    rejectionsWithRetryAfter > 100,
                    "rejections with a retry time: " + rejectionsWithRetryAfter);
        }
    }

    /**
     * Responses that arrive while the loop stalls have not been read yet when the timers of their
     * attempts run.
     */
    @Test
    void unreadResponsesAreNotCountedAsSlow() throws Exception {
        CyclicBarrier allArrived = new CyclicBarrier(READ_COUNT);
        CountDownLatch answered = new CountDownLatch(2 * READ_COUNT);
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        command -> {
                            try {
                                if (answered.getCount() > READ_COUNT) {
                                    // All reads must be open together, so that each has its own
                                    // connection.
                                    allArrived.await(
                                            TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                                }
                            } catch (Exception e) {
                                return null;
                            }
                            answered.countDown();
                            return FakeServer.valueResponse(command, "x");
                        });
        NodeTestFixture unstartedFixture = new NodeTestFixture(fakeServer);
        unstartedFixture.latencyObjectiveMillis = LATENCY_OBJECTIVE_MILLIS;
        unstartedFixture.policyFactory =
                (settings, seed, actions) -> new StallingPolicy(settings, seed, actions, answered);
        try (NodeTestFixture fixture = unstartedFixture.start();
                TestConnection client = fixture.client()) {
            assertPipelinedReadsServed(client);
            assertPipelinedReadsServed(client);
            assertServed(client, 0, 20);
        }
    }

    /**
     * After a stall, the waiting commands may belong to disconnected clients. Accepting them would
     * delay the commands of connected clients.
     */
    @Test
    void aCommandWhoseClientHasDisconnectedIsNotAccepted() throws Exception {
        List<Long> acceptedRequests = new CopyOnWriteArrayList<>();
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        NodeTestFixture unstartedFixture = new NodeTestFixture();
        unstartedFixture.policyFactory =
                (settings, seed, actions) ->
                        new NoOpPolicy(actions) {
                            @Override
                            public void onRequest(long now, Request request) {
                                acceptedRequests.add(request.key());
                                stalled.countDown();
                                try {
                                    release.await(
                                            TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                                actions.reject(request.id(), 0);
                            }
                        };
        try (NodeTestFixture fixture = unstartedFixture.start();
                TestConnection first = fixture.client()) {
            first.write("mg 1 v O1 Pc=read,t=acme,d=9000\r\n");
            stalled.await();
            try (TestConnection disconnectingClient = fixture.client()) {
                disconnectingClient.write("mg 2 v O2 Pc=read,t=acme,d=9000\r\n");
            }
            release.countDown();
            assertEquals("SERVER_ERROR busy", first.readLine());
            try (TestConnection last = fixture.client()) {
                assertEquals("SERVER_ERROR busy", last.request("mg 3 v O3 Pc=read,t=acme,d=9000"));
            }
            assertEquals(List.of(1L, 3L), acceptedRequests);
        }
    }
}
