package frostrelay.node.discovery;

import frostrelay.node.config.ConfigException;
import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.net.Connector;
import frostrelay.node.net.HeapCopyHandler;

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

import java.net.InetSocketAddress;

/**
 * One HTTP call to discovery, on a separate connection: if a reused connection failed, it would be
 * unknown whether the request in flight was processed. Ends with a list, a failure or {@link
 * #cancel}, once. Runs on the event loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Receives the end of a call that is not cancelled. */
    interface Listener {
        void onList(EndpointList endpointList);

        void onFailure(String reason);
    }

    private static final int CONNECTION_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private final InetSocketAddress address;
    private final String uri;
    private final CurrentSettings currentSettings;
    private final Listener listener;
    private Channel channel;
    private boolean isConnected;
    private boolean isFinished;

    /**
     * Creates a call that does nothing until {@link #start}.
     *
     * @param currentSettings the settings with which the list is parsed
     */
    DiscoveryCall(
            InetSocketAddress address,
            String uri,
            CurrentSettings currentSettings,
            Listener listener) {
        this.address = address;
        this.uri = uri;
        this.currentSettings = currentSettings;
        this.listener = listener;
    }

    /** Connects and sends the request. The listener may be called before this returns. */
    void start(EventLoop loop) {
        channel =
                Connector.connect(
                        newBootstrap(loop),
                        address,
                        loop,
                        cause -> fail("no connection: " + cause.getMessage()));
    }

    /** Returns whether discovery has accepted the connection. */
    boolean isConnected() {
        return isConnected;
    }

    private Bootstrap newBootstrap(EventLoop loop) {
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
                                                DiscoveryCall.this);
                            }
                        });
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        isConnected = true;
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
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
        isFinished = true;
        listener.onList(endpointList);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed before the end of the answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(cause.toString());
    }

    private void fail(String reason) {
        if (!isFinished) {
            cancel();
            listener.onFailure(reason);
        }
    }

    /** Ends the call without notifying the listener. */
    void cancel() {
        isFinished = true;
        if (channel != null) {
            channel.close();
        }
    }
}
