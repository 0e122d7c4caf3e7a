package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostrelay.node.config.Config;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.lifecycle.DescriptorUsage;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.memcache.MetaCommand;
import frostrelay.node.memcache.MetaCommandParser;
import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.metrics.Counters;
import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.proxy.ActiveRequest;
import frostrelay.node.proxy.Attempt;
import frostrelay.node.proxy.DecisionObserver;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.proxy.Upstream;
import frostrelay.node.proxy.UpstreamResponse;
import frostrelay.node.proxy.ValueStream;
import frostrelay.node.time.Clock;
import frostrelay.policy.Router;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.Server;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * What the module asks for takes effect in order, and every send gets one outcome, after the module
 * returned.
 */
class OrderTest {
    private static final long NANOS_PER_MILLISECOND = Clock.NANOS_PER_MILLISECOND;
    private final BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    private volatile boolean wasReentered;
    private volatile Request acceptedRequest;

    /** Writes down outcomes, and whether one came while the module was still at work. */
    private class Recording extends NoOpPolicy {
        private boolean isActing;
        List<Server> servers = List.of();

        Recording(PolicyActions actions) {
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

    private NodeTestFixture fixture(RequestAction action, FakeServer... hosts) {
        NodeTestFixture fixture = new NodeTestFixture(hosts);
        fixture.policyFactory =
                (settings, seed, actions) ->
                        new Recording(actions) {
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

    private void assertNextOutcome(int attempt, AttemptResult reason, boolean closed)
            throws InterruptedException {
        AttemptOutcome outcome = awaitOutcome();
        assertEquals(attempt, outcome.attempt());
        assertEquals(reason, outcome.result());
        assertEquals(closed, outcome.requestCompleted(), "closed");
    }

    @Test
    void outcomesOfActionsAreDeliveredWhenTheModuleHasReturned() throws Exception {
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
            assertNull(outcomes.poll(), "one outcome for each send");
            assertEquals(
                    0,
                    fixture.fakeServers.get(0).commands.size(),
                    "nothing goes out for a request that is over");
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
                    "one request on a connection at a time");
        }
    }

    @Test
    void theFirstAnswerIsTheFinalOne() throws Exception {
        int[] commandCount = new int[1];
        FakeServer serverId =
                FakeServer.respondingWith(
                        c -> commandCount[0]++ == 0 ? null : FakeServer.valueResponse(c, "v"));
        try (NodeTestFixture fixture =
                fixture(
                        (actions, now, request, server) -> {
                            actions.send(request.id(), server, 0);
                            actions.scheduleTimer(now + NANOS_PER_MILLISECOND, 1);
                        },
                        serverId)) {
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
                assertEquals("MN", client.request("mn"), "no second answer");
            }
        }
    }

    @Test
    void aRequestIsMappedAsInTheSimulator() throws Exception {
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
                    "the client counts from when it sent");
            assertEquals(
                    ResponseSource.UNKNOWN, awaitOutcome().source(), "a write comes from nowhere");
            client.request(NodeTestFixture.READ);
            AttemptOutcome read = awaitOutcome();
            assertEquals(0.5f, read.loadReport()[0], "util on sockets is busy in the settings");
            assertEquals(ResponseSource.CACHE, read.source(), "h1: a hit");
            assertEquals(
                    ResponseSource.ORIGIN,
                    new MetaFrame(List.of("VA", "1", "O1", "h0", "Z"), null, null, false, false)
                            .source());
        }
    }

    /**
     * A fault in the module must neither end the process nor leave a request without its answer.
     */
    @Test
    void aRequestThatTheModuleFailsOnIsAnsweredByTheRules() throws Exception {
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

    /** The module's silence must not become the client's. */
    @Test
    void aRequestThatTheModuleForgetsIsAnsweredAtItsDeadline() throws Exception {
        try (NodeTestFixture fixture =
                        fixture(
                                        (actions, now, request, serverId) -> {},
                                        FakeServer.servingAnyCommand())
                                .start();
                TestConnection client = fixture.client()) {
            assertEquals("SERVER_ERROR busy", client.request("mg 1 v O1 Pc=read,t=acme,d=60"));
        }
    }

    /** Holds all that it is to send: no connection ever comes up. */
    private static final class NeverConnectingUpstream implements Upstream {
        @Override
        public void update(EndpointUpdateMode mode, List<EndpointList.Endpoint> members) {}

        @Override
        public void setDrainedServers(Set<Long> servers) {}

        @Override
        public boolean isKnown(long server) {
            return false;
        }

        @Override
        public void send(Attempt attempt, long server) {}

        @Override
        public void abandon(Attempt attempt) {}

        @Override
        public void closeIdleConnections(long server) {}

        @Override
        public void setMaxConnections(int maxConnections) {}

        @Override
        public void sweep() {}

        @Override
        public int connectionCount() {
            return 0;
        }

        @Override
        public void collectGauges(Map<String, Object> into) {}
    }

    /**
     * Where the loop was late between two timers of a request, its last call came before the cut of
     * what was never sent: told as cancelled, that may have run, and a write was told failed for
     * the module's answer that came first.
     */
    @Test
    void anUnsentRequestIsRejectedEvenIfTheDeadlineFallbackRunsBeforeTheAttemptTimeout()
            throws Exception {
        NodeTestFixture fixture = new NodeTestFixture();
        fixture.extraTargets.add(NodeTestFixture.target("s-1", "127.0.0.1:1", "Ready"));
        Config config =
                Config.parse(
                        Json.parse(fixture.config("127.0.0.1:0").getBytes(StandardCharsets.UTF_8)));
        // Asked between the two: the cut is set later than it was meant by as much as this takes.
        DecisionObserver slowObserver =
                new DecisionObserver() {
                    @Override
                    public int versionSequence() {
                        for (long end = Clock.now() + 20 * NANOS_PER_MILLISECOND;
                                Clock.now() < end; ) {
                            Thread.onSpinWait();
                        }
                        return 0;
                    }
                };
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        BlockingQueue<String> responses = new LinkedBlockingQueue<>();
        ActiveRequest.ResponseListener client =
                new ActiveRequest.ResponseListener() {
                    @Override
                    public void onServed(UpstreamResponse response, ValueStream value) {
                        responses.add("served");
                    }

                    @Override
                    public void onRejected(long retryAfterMillis) {
                        responses.add("refused");
                    }

                    @Override
                    public void onFailed() {
                        responses.add("failed");
                    }

                    @Override
                    public long disconnectUndetectableSince(long now) {
                        return ActionGuard.NEVER;
                    }
                };
        try {
            MetaCommand command =
                    MetaCommandParser.parse(
                            MetaFrame.of(
                                    List.of("ms", "1", "1", "O1", "Pc=copy,t=acme,d=100"),
                                    new byte[] {'x'}),
                            config.settings());
            loop.submit(
                            () ->
                                    new RequestDispatcher(
                                                    config,
                                                    loop,
                                                    new Counters(),
                                                    Router::new,
                                                    (site, listener) ->
                                                            new NeverConnectingUpstream(),
                                                    new MemoryLimiter(1_000),
                                                    new ActionGuard(),
                                                    new SharedDirectory.Snapshot(
                                                            Set.of(),
                                                            Set.of(),
                                                            0,
                                                            new DescriptorUsage(0, 0)),
                                                    slowObserver,
                                                    System::currentTimeMillis)
                                            .accept(command, Clock.now(), client))
                    .get();
            assertEquals(
                    "refused",
                    responses.poll(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            assertNull(responses.poll(100, TimeUnit.MILLISECONDS), "one answer");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
