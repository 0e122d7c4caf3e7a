package frostrelay.node.admin;

import frostrelay.node.log.Event;
import frostrelay.node.log.Log;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;

import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The administrators' HTTP/1.1 server, with one call per connection. The sizes of headers and
 * bodies, the number of connections and their duration are limited, so that callers who send
 * nothing, an incomplete call or too much use few resources. Runs on the balancer's event loop.
 */
public final class AdminServer {
    private static final int MAX_REQUEST_LINE_BYTES = 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int MAX_BODY_BYTES = 4 * 1024;

    /** Concurrent connections; one more closes the oldest that is not executing a call. */
    private static final int MAX_CONNECTIONS = 16;

    private static final int BACKLOG = 64;

    private final EventLoop loop;
    private final AdminRoutes routes;
    private final long callTimeoutMillis;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listeningChannel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param callTimeoutMillis time that a caller may take to send its call, and again to read the
     *     response
     */
    public AdminServer(EventLoop loop, AdminOperations operations, long callTimeoutMillis) {
        this.loop = loop;
        this.routes = new AdminRoutes(operations, loop);
        this.callTimeoutMillis = callTimeoutMillis;
    }

    /** Starts to accept calls; the future fails if the address cannot be bound. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bindFuture = newBootstrap().bind(address);
        listeningChannel = bindFuture.channel();
        return bindFuture;
    }

    /** Stops accepting calls and frees the address; calls in progress are completed. */
    public void stopListening() {
        listeningChannel.close();
    }

    private ServerBootstrap newBootstrap() {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A caller may shut down its output after the call and still read the response.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel newChannel) {
                                Connection connection = new Connection(newChannel);
                                newChannel
                                        .pipeline()
                                        .addLast(
                                                new HttpServerCodec(
                                                        MAX_REQUEST_LINE_BYTES,
                                                        MAX_HEADER_BYTES,
                                                        MAX_BODY_BYTES),
                                                connection.new RequestAggregator(),
                                                connection);
                            }
                        });
    }

    private void evictOldest() {
        Iterator<Connection> oldest = connections.iterator();
        while (connections.size() > MAX_CONNECTIONS && oldest.hasNext()) {
            Connection connection = oldest.next();
            if (!connection.hasRequest || connection.hasResponded) {
                oldest.remove();
                connection.channel.close();
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private Future<?> timeout;
        private boolean hasRequest;
        private boolean hasResponded;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            evictOldest();
            timeout =
                    loop.schedule(
                            () ->
                                    respond(
                                            AdminResponse.of(
                                                    HttpResponseStatus.REQUEST_TIMEOUT,
                                                    "the call is not whole")),
                            callTimeoutMillis,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (hasRequest) {
                return;
            }
            hasRequest = true;
            timeout.cancel(false);
            routes.handle(request)
                    .addListener(
                            (Future<AdminResponse> done) -> {
                                if (done.isSuccess()) {
                                    respond(done.getNow());
                                } else {
                                    Log.write(
                                            Event.ADMIN_CALL_FAILED, String.valueOf(done.cause()));
                                    respond(
                                            AdminResponse.of(
                                                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                                                    "the call failed: see the log"));
                                }
                            });
        }

        /**
         * Responds once and shuts down the output. Further input is still read, as a reset could
         * discard the response.
         */
        private void respond(AdminResponse response) {
            if (hasResponded || !channel.isActive()) {
                return;
            }
            hasResponded = true;
            hasRequest = true;
            timeout.cancel(false);
            timeout =
                    loop.schedule(() -> channel.close(), callTimeoutMillis, TimeUnit.MILLISECONDS);
            channel.writeAndFlush(response.toHttpResponse())
                    .addListener(
                            sent -> {
                                if (sent.isSuccess()) {
                                    ((SocketChannel) channel).shutdownOutput();
                                } else {
                                    channel.close();
                                }
                            });
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            // The caller has shut down its output: without a complete call, or after the response,
            // the connection is of no further use.
            if (event instanceof ChannelInputShutdownEvent && (!hasRequest || hasResponded)) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        /** Aggregates a call and rejects one whose body is too long. */
        private final class RequestAggregator extends HttpObjectAggregator {
            RequestAggregator() {
                super(MAX_BODY_BYTES);
            }

            @Override
            protected void handleOversizedMessage(
                    ChannelHandlerContext ctx, HttpMessage oversized) {
                respond(
                        AdminResponse.of(
                                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                                "the body is too long"));
            }
        }
    }
}
