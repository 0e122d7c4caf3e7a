package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.Server;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The policy's actions take effect in the order of the calls. Every attempt gets exactly one
 * outcome, which is delivered after the policy has returned.
 */
class OrderTest {
    private static final long NANOS_PER_MILLISECOND = Clock.NANOS_PER_MILLISECOND;
    private final BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    private volatile boolean wasReentered;
    private volatile Request acceptedRequest;

    /** A policy that records outcomes, and whether any was delivered while it was still running. */
    private class RecordingPolicy extends NoOpPolicy {
        private boolean isActing;
        List<Server> servers = List.of();

        RecordingPolicy(PolicyActions actions) {
            super(actions);
        }

        @Override
        public void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> list) {
            servers = list;
        }

        @Override
        public final void onRequest(long now, Request request) {
            isActing = true;
            acceptedRequest = request;
            act(now, request, servers.isEmpty() ? 0 : servers.get(0).id());
            isActing = false;
        }

        void act(long now, Request request, long serverId) {}

        @Override
        public void onAttemptOutcome(long now, AttemptOutcome outcome) {
            wasReentered |= isActing;
            outcomes.add(outcome);
        }
    }

    private interface RequestAction {
        void run(PolicyActions actions, long now, Request request, long serverId);
    }

    private NodeTestFixture fixture(RequestAction action, FakeServer... fakeServers) {
        NodeTestFixture fixture = new NodeTestFixture(fakeServers);
        fixture.policyFactory =
                (settings, seed, actions) ->
                        new RecordingPolicy(actions) {
                            @Override
                            void act(long now, Request request, long serverId) {
                                action.run(actions, now, request, serverId);
                            }
                        };
        return fixture;
    }

    private AttemptOutcome awaitOutcome() throws InterruptedException {
        return outcomes.poll(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void assertNextOutcome(int attempt, AttemptResult result, boolean requestCompleted)
            throws InterruptedException {
        AttemptOutcome outcome = awaitOutcome();
        assertEquals(attempt, outcome.attempt());
        assertEquals(result, outcome.result());
        assertEquals(requestCompleted, outcome.requestCompleted(), "request completed");
    }

    @Test
    void outcomesOfActionsAreDeliveredAfterThePolicyHasReturned() throws Exception {
        try (NodeTestFixture fixture =
                        fixture(
                                        (actions, now, request, serverId) -> {
                                            actions.send(request.id(), serverId, 0);
                                            actions.cancel(request.id(), 0);
                                            actions.send(request.id(), 4711, 0);
                                            actions.send(request.id(), serverId, now - 1);
                                            actions.reject(request.id(), 0);
                                            actions.send(request.id(), serverId, 0);
                                            actions.cancel(request.id(), 0);
                                            actions.cancel(request.id(), 99);
                                        },
                                        FakeServer.servingAnyCommand())
                                .start();
                TestConnection client = fixture.client()) {
            assertEquals("SERVER_ERROR busy", client.request(NodeTestFixture.READ));
            assertNextOutcome(0, AttemptResult.CANCELLED, true);
            assertNextOutcome(1, AttemptResult.SUPERSEDED, true);
            assertNextOutcome(2, AttemptResult.TIMEOUT, true);
            assertNextOutcome(3, AttemptResult.SUPERSEDED, true);
            assertFalse(wasReentered);
            assertEquals("MN", client.request("mn"));
            assertNull(outcomes.poll(), "each send has only one outcome");
            assertEquals(
                    0,
                    fixture.fakeServers.get(0).commands.size(),
                    "no attempt is sent for a completed request");
        }
    }

    @Test
    void attemptsPastTheMaximumAreNotSent() throws Exception {
        try (NodeTestFixture fixture =
                        fixture(
                                        (actions, now, request, serverId) -> {
                                            for (int i = 0; i < 5; i++) {
                                                actions.send(request.id(), serverId, 0);
                                            }
                                        },
                                        FakeServer.respondingWith(c -> null))
                                .start();
                TestConnection client = fixture.client()) {
            client.write(NodeTestFixture.READ + "\r\n");
            assertNextOutcome(4, AttemptResult.SUPERSEDED, false);
            for (int i = 0; i < 4; i++) {
                fixture.fakeServers.get(0).awaitCommand();
            }
            assertEquals(
                    4,
                    fixture.fakeServers.get(0).connections.get(),
                    "a connection carries one request at a time");
        }
    }

    @Test
    void theFirstSuccessfulResponseIsFinal() throws Exception {
        int[] commandCount = new int[1];
        FakeServer fakeServer =
                FakeServer.respondingWith(
                        c -> commandCount[0]++ == 0 ? null : FakeServer.valueResponse(c, "v"));
        try (NodeTestFixture fixture =
                fixture(
                        (actions, now, request, server) -> {
                            actions.send(request.id(), server, 0);
                            actions.scheduleTimer(now + NANOS_PER_MILLISECOND, 1);
                        },
                        fakeServer)) {
            RequestDispatcher.PolicyFactory innerFactory = fixture.policyFactory;
            fixture.policyFactory =
                    (settings, seed, actions) -> {
                        PolicyEvents events = innerFactory.create(settings, seed, actions);
                        return new NoOpPolicy(actions) {
                            private long id;
                            private long server;

                            @Override
                            public void onEndpointUpdate(
                                    long now, EndpointUpdateMode mode, List<Server> servers) {
                                events.onEndpointUpdate(now, mode, servers);
                                server = servers.isEmpty() ? server : servers.get(0).id();
                            }

                            @Override
                            public void onRequest(long now, Request request) {
                                id = request.id();
                                events.onRequest(now, request);
                            }

                            @Override
                            public void onTimer(long now, int token) {
                                if (commandCount[0] == 0) {
                                    actions.scheduleTimer(now + NANOS_PER_MILLISECOND, token);
                                } else {
                                    actions.send(id, server, 0);
                                }
                            }

                            @Override
                            public void onAttemptOutcome(long now, AttemptOutcome outcome) {
                                actions.fail(id);
                                actions.cancel(id, 0);
                                events.onAttemptOutcome(now, outcome);
                            }
                        };
                    };
            fixture.start();
            try (TestConnection client = fixture.client()) {
                assertEquals("VA 1 O1", client.request(NodeTestFixture.READ));
                client.readData(1);
                assertNextOutcome(1, AttemptResult.OK, true);
                assertNextOutcome(0, AttemptResult.CANCELLED, true);
                assertEquals("MN", client.request("mn"), "no second response");
            }
        }
    }

    @Test
    void commandParametersAreMappedToThePolicyRequest() throws Exception {
        try (NodeTestFixture fixture =
                        fixture(
                                        (actions, now, request, serverId) ->
                                                actions.send(request.id(), serverId, 0),
                                        FakeServer.servingAnyCommand())
                                .start();
                TestConnection client = fixture.client()) {
            long beforeNanos = Clock.now();
            client.request(
                    "ms 00000000000000ff 1 O1 Pc=put,t=acme,d=4000,k=1,r=1,h=250,size=12\r\nx");
            assertEquals(255, acceptedRequest.key());
            assertEquals(2, acceptedRequest.requestClass());
            assertEquals(0, acceptedRequest.tenant());
            assertEquals(250_000, acceptedRequest.work());
            assertTrue(acceptedRequest.clientRetry() && acceptedRequest.write());
            assertTrue(
                    acceptedRequest.deadlineNanos() > beforeNanos
                            && acceptedRequest.deadlineNanos()
                                    < Clock.now() + 4000 * NANOS_PER_MILLISECOND,
                    "the deadline is earlier than the client's timeout");
            assertEquals(
                    ResponseSource.UNKNOWN,
                    awaitOutcome().source(),
                    "a write has no response source");
            client.request(NodeTestFixture.READ);
            AttemptOutcome read = awaitOutcome();
            assertEquals(
                    0.5f,
                    read.loadReport()[0],
                    "util on the wire is the field busy of the settings");
            assertEquals(ResponseSource.CACHE, read.source(), "h1 is a cache hit");
            assertEquals(
                    ResponseSource.ORIGIN,
                    new MetaFrame(List.of("VA", "1", "O1", "h0", "Z"), null, null, false, false)
                            .source());
        }
    }

    /**
     * A fault in the policy must neither end the process nor leave a request without its response.
     */
    @Test
    void aRequestOnWhichThePolicyThrowsIsAnswered() throws Exception {
        try (NodeTestFixture fixture =
                        fixture(
                                        (actions, now, request, serverId) -> {
                                            if (request.requestClass() == 0) {
                                                throw new IllegalStateException(
                                                        "a fault before the send");
                                            }
                                            actions.send(request.id(), serverId, 0);
                                        },
                                        FakeServer.servingAnyCommand())
                                .start();
                TestConnection client = fixture.client()) {
            assertEquals("SERVER_ERROR busy", client.request(NodeTestFixture.READ));
            assertEquals("HD O2 c77", client.request(NodeTestFixture.NON_IDEMPOTENT_WRITE));
        }
    }

    /** A request must be answered even if the policy never decides on it. */
    @Test
    void aRequestThatThePolicyLeavesOpenIsAnsweredAtItsDeadline() throws Exception {
        try (NodeTestFixture fixture =
                        fixture(
                                        (actions, now, request, serverId) -> {},
                                        FakeServer.servingAnyCommand())
                                .start();
                TestConnection client = fixture.client()) {
            assertEquals("SERVER_ERROR busy", client.request("mg 1 v O1 Pc=read,t=acme,d=60"));
        }
    }
}
