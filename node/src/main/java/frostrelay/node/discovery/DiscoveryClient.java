package frostrelay.node.discovery;

import frostrelay.node.config.Config;
import frostrelay.node.config.ConfigException;
import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.net.Connector;
import frostrelay.node.net.HeapCopyHandler;
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

/**
 * Watches the discovery's endpoint list of cache servers by long polling, from {@link #subscribe}
 * until a call fails. Owned by the event loop; not thread-safe.
 */
public final class DiscoveryClient {
    /**
     * Receives every list in order. A failure, {@link EndpointUpdateMode#FAILED}, ends the watch;
     * the decision module decides when to subscribe again.
     */
    public interface Listener {
        void onEndpointList(
                EndpointUpdateMode mode, long revision, List<EndpointList.Endpoint> endpoints);
    }

    /**
     * Time that a watch may wait for an update, per instance of the tier. An update that an
     * unresponsive watch misses becomes binding 6 s after the watch stopped responding, or 2 s
     * after its wait, so short waits are better; but each call uses capacity of the discovery,
     * which all instances share. All instances together make at most two calls a second that return
     * nothing, until {@link #MAX_WATCH_WAIT_MILLIS} is reached. An agent, to which lists are
     * pushed, serves this balancer only, so the minimum applies.
     */
    private static final long WATCH_WAIT_PER_INSTANCE_MILLIS = 500;

    private static final long MIN_WATCH_WAIT_MILLIS = 2_000;
    private static final long MAX_WATCH_WAIT_MILLIS = 20_000;

    /**
     * Time after its wait from which a watch without an answer is unresponsive. It is half of the 2
     * s after which a missed update becomes binding, so that one more call can be answered in time.
     */
    private static final long RESPONSE_GRACE_MILLIS = 1_000;

    /**
     * The discovery may queue a call for 3 s before it rejects it; a shorter timeout would lose the
     * call's place in the queue.
     */
    private static final long QUEUEING_TIMEOUT_MILLIS = 3_500;

    private static final int CONNECTION_TIMEOUT_MILLIS = 1_000;

    /** At most one call in this time, in case every answer is immediate; a watch allows 200 ms. */
    private static final long MIN_CALL_INTERVAL_MILLIS = 100;

    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final String ENDPOINTS_PATH = "/catalog/members";

    private InetSocketAddress address;
    private final CurrentSettings currentSettings;
    private final EventLoop loop;
    private final Listener listener;
    private long revision;

    /**
     * The next call requests the full list, without waiting: after a change of address, since
     * versions are specific to one discovery, and for the first call to an agent.
     */
    private boolean needsFullList;

    /** The address has changed and the discovery there has not answered yet. */
    private boolean isAddressNew;

    /** The call in progress or about to start; null without a watch. */
    private WatchCall currentCall;

    /**
     * Creates a client that does nothing until {@link #subscribe}.
     *
     * @param currentSettings the settings in effect, with which the lists are parsed
     * @param listener called on {@code loop}
     */
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

    /** Starts a watch from the last known version, unless there is one. */
    public void subscribe() {
        if (currentCall == null) {
            currentCall = new WatchCall();
            currentCall.start();
        }
    }

    /**
     * Restarts the watch from the last known version, as the update that the call in progress
     * should have returned may have been lost. Does nothing without a watch.
     */
    public void refresh() {
        if (currentCall != null) {
            currentCall.cancel();
            currentCall = new WatchCall();
            currentCall.start();
        }
    }

    /**
     * Changes the address of the discovery. The call to the old address is cancelled silently, as
     * its end is no failure that requires a backoff, and the new address is called at once, because
     * the old one sends no more updates and those of the new one are needed within seconds.
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
     * One call, on a separate connection: if a reused connection failed, it would be unknown
     * whether the request in flight was processed.
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
            // Before connecting, which may fail synchronously.
            timeoutTask = loop.schedule(this::onTimeout, timeoutMillis(), TimeUnit.MILLISECONDS);
            channel =
                    Connector.connect(
                            newBootstrap(),
                            address,
                            loop,
                            cause -> fail("no connection: " + cause.getMessage()));
        }

        private long timeoutMillis() {
            return needsFullList
                    ? QUEUEING_TIMEOUT_MILLIS
                    : Math.max(QUEUEING_TIMEOUT_MILLIS, watchWaitMillis() + RESPONSE_GRACE_MILLIS);
        }

        private Bootstrap newBootstrap() {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECTION_TIMEOUT_MILLIS)
                    .handler(
                            new ChannelInitializer<>() {
                                @Override
                                protected void initChannel(Channel newChannel) {
                                    newChannel
                                            .pipeline()
                                            .addLast(
                                                    new HeapCopyHandler(),
                                                    new HttpClientCodec(),
                                                    new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                                    WatchCall.this);
                                }
                            });
        }

        private String requestUri() {
            return needsFullList
                    ? ENDPOINTS_PATH
                    : ENDPOINTS_PATH + "?since=" + revision + "&timeout_ms=" + watchWaitMillis();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, requestUri());
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
            onList(endpointList);
        }

        private void onList(EndpointList endpointList) {
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
            scheduleNextCall();
            listener.onEndpointList(
                    endpointList.isFull() ? EndpointUpdateMode.FULL : EndpointUpdateMode.DELTA,
                    endpointList.revision(),
                    endpointList.endpoints());
        }

        private void scheduleNextCall() {
            WatchCall nextCall = new WatchCall();
            currentCall = nextCall;
            long elapsedMillis = (Clock.now() - startedAtNanos) / Clock.NANOS_PER_MILLISECOND;
            loop.schedule(
                    nextCall::start,
                    Math.max(0, MIN_CALL_INTERVAL_MILLIS - elapsedMillis),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("connection closed before the end of the answer");
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

        /** Ends the call, or prevents it from starting, without notifying the listener. */
        void cancel() {
            finish();
            if (channel != null) {
                channel.close();
            }
        }

        /**
         * Restarts the watch at once, without a backoff: the discovery may be healthy and only this
         * call's connection dead.
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
