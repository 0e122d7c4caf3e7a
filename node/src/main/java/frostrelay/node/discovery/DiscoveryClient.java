package frostrelay.node.discovery;

import frostrelay.node.config.Config;
import frostrelay.node.config.ConfigException;
import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.net.Connector;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicySettings;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Follows discovery's list of cache hosts, from when the module asks until a call fails. */
public final class DiscoveryClient {
    /** Hears every list in order. A failure ends the watch; the module says when to ask again. */
    public interface Listener {
        void onEndpointList(
                EndpointUpdateMode mode, long revision, List<EndpointList.Endpoint> endpoints);
    }

    /**
     * How long a watch may wait for news: what a silent one misses binds 6 s after it fell silent,
     * or 2 s after its wait, so short waits are better; but each call takes room at discovery,
     * which is one for all. Of all instances together at most two calls a second wait in vain,
     * until {@link #MAX_WATCH_WAIT_MILLIS}. An agent that lists are pushed to is our own.
     */
    private static final long WATCH_WAIT_PER_INSTANCE_MILLIS = 500;

    private static final long MIN_WATCH_WAIT_MILLIS = 2_000;
    private static final long MAX_WATCH_WAIT_MILLIS = 20_000;

    /**
     * No answer for so long past the wait is silence: half of the 2 s, so that one more call is
     * answered within them.
     */
    private static final long RESPONSE_GRACE_MILLIS = 1_000;

    /**
     * A call may stand in line at discovery for 3 s before it is refused; given up sooner, it would
     * lose its place.
     */
    private static final long QUEUEING_TIMEOUT_MILLIS = 3_500;

    private static final int CONNECTION_TIMEOUT_MILLIS = 1_000;

    /**
     * At most one call in this time, should answers come at once for ever; a watch allows 200 ms.
     */
    private static final long MIN_CALL_INTERVAL_MILLIS = 100;

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private InetSocketAddress address;
    private final CurrentSettings currentSettings;
    private final EventLoop loop;
    private final Listener listener;
    private long revision;

    /**
     * The next call asks for the whole list, at once: after a move, as versions are one service's
     * own, and at first of an agent.
     */
    private boolean needsFullList;

    private boolean isAddressNew;

    /** The call that is out or about to begin; null while nobody watches. */
    private WatchCall currentCall;

    public DiscoveryClient(
            Config config, CurrentSettings currentSettings, EventLoop loop, Listener listener) {
        this.address = config.discoveryAddress();
        this.currentSettings = currentSettings;
        this.loop = loop;
        this.listener = listener;
        this.revision = config.initialEndpoints().revision();
        this.needsFullList = !currentSettings.get().policySettings.subscribe();
    }

    private long watchWaitMillis() {
        PolicySettings settings = currentSettings.get().policySettings;
        return settings.subscribe()
                ? Math.max(
                        MIN_WATCH_WAIT_MILLIS,
                        Math.min(
                                MAX_WATCH_WAIT_MILLIS,
                                settings.instanceCount() * WATCH_WAIT_PER_INSTANCE_MILLIS))
                : MIN_WATCH_WAIT_MILLIS;
    }

    /** Begins a watch from the last known version, unless one is on. */
    public void subscribe() {
        if (currentCall == null) {
            currentCall = new WatchCall();
            currentCall.start();
        }
    }

    /**
     * Asks anew from the last known version: what the call that is out should have told may have
     * been lost.
     */
    public void refresh() {
        if (currentCall != null) {
            currentCall.cancel();
            currentCall = new WatchCall();
            currentCall.start();
        }
    }

    /**
     * Discovery is to be found elsewhere. The call to the old address is dropped without a word, as
     * its end is no failure that anyone should wait after, and the new address is asked at once:
     * the old one tells nothing any more, and what the new one knows is wanted within seconds.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Log.write(Event.DISCOVERY_ADDRESS_CHANGED, address, newAddress);
        address = newAddress;
        isAddressNew = true;
        needsFullList = true;
        if (currentCall != null) {
            currentCall.cancel();
        }
        currentCall = new WatchCall();
        currentCall.start();
    }

    /**
     * One call, on a connection of its own: what a kept one had in flight when it broke is in
     * doubt.
     */
    private final class WatchCall extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long startedAtNanos;
        private Future<?> timeoutTask;
        private Channel channel;
        private boolean isFinished;

        void start() {
            if (isFinished) {
                return;
            }
            startedAtNanos = Clock.now();
            // Before the connection: a refused one may fail within this very call.
            long timeoutMillis =
                    needsFullList
                            ? QUEUEING_TIMEOUT_MILLIS
                            : Math.max(
                                    QUEUEING_TIMEOUT_MILLIS,
                                    watchWaitMillis() + RESPONSE_GRACE_MILLIS);
            timeoutTask = loop.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
            Bootstrap bootstrap =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECTION_TIMEOUT_MILLIS)
                            .handler(
                                    new ChannelInitializer<>() {
                                        @Override
                                        protected void initChannel(Channel fresh) {
                                            fresh.pipeline()
                                                    .addLast(
                                                            new HttpClientCodec(),
                                                            new HttpObjectAggregator(
                                                                    MAX_RESPONSE_BYTES),
                                                            WatchCall.this);
                                        }
                                    });
            channel =
                    Connector.connect(
                            bootstrap,
                            address,
                            loop,
                            cause -> fail("no connection: " + cause.getMessage()));
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.GET,
                            "/catalog/members"
                                    + (needsFullList
                                            ? ""
                                            : "?since="
                                                    + revision
                                                    + "&timeout_ms="
                                                    + watchWaitMillis()));
            request.headers()
                    .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            ctx.close();
            if (isFinished) {
                return;
            }
            if (!response.status().equals(HttpResponseStatus.OK)
                    || response.decoderResult().isFailure()) {
                fail("status " + response.status().code());
                return;
            }
            EndpointList endpointList;
            try {
                endpointList =
                        EndpointList.parse(
                                Json.parse(ByteBufUtil.getBytes(response.content())),
                                currentSettings.get());
            } catch (ConfigException e) {
                fail(e.getMessage());
                return;
            }
            finish();
            if (isAddressNew) {
                Log.write(
                        Event.DISCOVERY_ADDRESS_CONNECTED,
                        address,
                        endpointList.revision(),
                        revision);
            }
            isAddressNew = false;
            needsFullList = false;
            revision = endpointList.revision();
            WatchCall nextCall = new WatchCall();
            currentCall = nextCall;
            long delayMillis =
                    Math.max(
                            0,
                            MIN_CALL_INTERVAL_MILLIS
                                    - (Clock.now() - startedAtNanos) / Clock.NANOS_PER_MILLISECOND);
            loop.schedule(nextCall::start, delayMillis, TimeUnit.MILLISECONDS);
            listener.onEndpointList(
                    endpointList.isFull() ? EndpointUpdateMode.FULL : EndpointUpdateMode.DELTA,
                    endpointList.revision(),
                    endpointList.endpoints());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("the call broke");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause.toString());
        }

        private void finish() {
            isFinished = true;
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
            }
        }

        /** Ends the call, or keeps it from starting, and tells nobody. */
        void cancel() {
            finish();
            if (channel != null) {
                channel.close();
            }
        }

        /**
         * Discovery may be well and only this call's connection dead: another one is opened at
         * once, without a pause.
         */
        private void onTimeout() {
            Log.write(Event.DISCOVERY_FAILED, "silence");
            refresh();
        }

        private void fail(String reason) {
            if (isFinished) {
                return;
            }
            cancel();
            currentCall = null;
            Log.write(Event.DISCOVERY_FAILED, reason);
            listener.onEndpointList(EndpointUpdateMode.FAILED, revision, List.of());
        }
    }
}
