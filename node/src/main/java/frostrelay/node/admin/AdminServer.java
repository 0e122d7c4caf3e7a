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
 * The operators' address: HTTP/1.1, one call a connection. Heads, bodies, the number of connections
 * and the time each may take are bounded, so that callers who send nothing, half a call or too much
 * cost next to nothing.
 */
public final class AdminServer {
    private static final int MAX_REQUEST_LINE_BYTES = 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int MAX_BODY_BYTES = 4 * 1024;

    /** Connections at once; one more costs the oldest that still owes its call. */
    private static final int MAX_CONNECTIONS = 16;

    private static final int BACKLOG = 64;

    private final EventLoop loop;
    private final AdminRoutes routes;
    private final long callTimeoutMillis;
    private final Set<Connection> connections = new LinkedHashSet<>();

    /**
     * {@code callTimeoutMillis}: within this a call must be whole, and as long again its caller has
     * to take the answer.
     */
    public AdminServer(EventLoop loop, AdminOperations operations, long callTimeoutMillis) {
        this.loop = loop;
        this.routes = new AdminRoutes(operations, loop);
        this.callTimeoutMillis = callTimeoutMillis;
    }

    /** Begins to take calls. */
    public ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A caller may end its sending behind the call and still wait for the answer.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel fresh) {
                                Connection connection = new Connection(fresh);
                                fresh.pipeline()
                                        .addLast(
                                                new HttpServerCodec(
                                                        MAX_REQUEST_LINE_BYTES,
                                                        MAX_HEADER_BYTES,
                                                        MAX_BODY_BYTES),
                                                connection.new RequestAggregator(),
                                                connection);
                            }
                        })
                .bind(address);
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
         * Answers once and ends the sending; what the caller still sends is read, lest a reset lose
         * the answer.
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
            // The far end has ended its sending: without a whole call, or behind the answer, that
            // is all.
            if (event instanceof io.netty.channel.socket.ChannelInputShutdownEvent
                    && (!hasRequest || hasResponded)) {
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

        /** Puts a call together; one with too much of a body is answered here. */
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
