package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

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
import frostrelay.node.net.MemoryPool;
import frostrelay.node.proxy.ActiveRequest;
import frostrelay.node.proxy.Attempt;
import frostrelay.node.proxy.DecisionObserver;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.proxy.Upstream;
import frostrelay.node.proxy.UpstreamResponse;
import frostrelay.node.proxy.ValueStream;
import frostrelay.node.time.Clock;
import frostrelay.policy.Router;
import frostrelay.policy.api.EndpointUpdateMode;

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

/** Requests that the policy leaves open past their deadline are answered without it. */
class DeadlineFallbackTest {
    /** An upstream that accepts attempts but never opens a connection. */
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
     * An observer that delays the attempt's timeout: the version is read after the fallback is
     * scheduled and before the attempt's timeout is.
     */
    private static final class SlowObserver implements DecisionObserver {
        @Override
        public int versionSequence() {
            for (long end = Clock.now() + 20 * Clock.NANOS_PER_MILLISECOND; Clock.now() < end; ) {
                Thread.onSpinWait();
            }
            return 0;
        }
    }

    private static final class RecordingListener implements ActiveRequest.ResponseListener {
        @Override
        public MemoryPool responseMemory() {
            throw new UnsupportedOperationException("no response is received");
        }

        final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

        @Override
        public void onServed(UpstreamResponse response, ValueStream value) {
            responses.add("served");
        }

        @Override
        public void onRejected(long retryAfterMillis) {
            responses.add("rejected");
        }

        @Override
        public void onFailed() {
            responses.add("failed");
        }

        @Override
        public long disconnectUndetectableSince(long now) {
            return ActionGuard.NEVER;
        }
    }

    /**
     * If the event loop is late, the fallback of a request may run before the timeout of an attempt
     * that was never written. If the attempt were reported as cancelled, the policy would assume
     * that it may have run, and fail the write instead of rejecting it.
     */
    @Test
    void anUnsentRequestIsRejectedEvenIfTheDeadlineFallbackRunsBeforeTheAttemptTimeout()
            throws Exception {
        NodeTestFixture fixture = new NodeTestFixture();
        fixture.extraTargets.add(NodeTestFixture.target("s-1", "127.0.0.1:1", "Ready"));
        Config config =
                Config.parse(
                        Json.parse(fixture.config("127.0.0.1:0").getBytes(StandardCharsets.UTF_8)));
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        RecordingListener client = new RecordingListener();
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
                                                    (currentSettings, listener) ->
                                                            new NeverConnectingUpstream(),
                                                    new MemoryLimiter(1_000_000),
                                                    new ActionGuard(),
                                                    new SharedDirectory.Snapshot(
                                                            Set.of(),
                                                            Set.of(),
                                                            0,
                                                            new DescriptorUsage(0, 0)),
                                                    new SlowObserver(),
                                                    System::currentTimeMillis)
                                            .accept(command, Clock.now(), client))
                    .get();
            assertEquals(
                    "rejected",
                    client.responses.poll(TestConnection.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            assertNull(client.responses.poll(100, TimeUnit.MILLISECONDS), "only one response");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
