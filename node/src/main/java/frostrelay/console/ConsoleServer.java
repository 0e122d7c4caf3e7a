package frostrelay.console;

import frostrelay.log.Event;
import frostrelay.log.Log;

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
public final class ConsoleServer {
    private static final int MOST_LINE = 1024;
    private static final int MOST_HEAD = 8 * 1024;
    private static final int MOST_BODY = 4 * 1024;

    /** Connections at once; one more costs the oldest that still owes its call. */
    private static final int MOST_CONNECTIONS = 16;

    private static final int BACKLOG = 64;

    private final EventLoop loop;
    private final Calls calls;
    private final long callMs;
    private final Set<Connection> connections = new LinkedHashSet<>();

    /**
     * {@code callMs}: within this a call must be whole, and as long again its caller has to take
     * the answer.
     */
    public ConsoleServer(EventLoop loop, Operations operations, long callMs) {
        this.loop = loop;
        this.calls = new Calls(operations, loop);
        this.callMs = callMs;
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
                                                        MOST_LINE, MOST_HEAD, MOST_BODY),
                                                connection.new Whole(),
                                                connection);
                            }
                        })
                .bind(address);
    }

    private void makeRoom() {
        Iterator<Connection> oldest = connections.iterator();
        while (connections.size() > MOST_CONNECTIONS && oldest.hasNext()) {
            Connection connection = oldest.next();
            if (!connection.called || connection.answered) {
                oldest.remove();
                connection.channel.close();
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private Future<?> timeout;
        private boolean called;
        private boolean answered;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            makeRoom();
            timeout =
                    loop.schedule(
                            () ->
                                    answer(
                                            Answer.of(
                                                    HttpResponseStatus.REQUEST_TIMEOUT,
                                                    "the call is not whole")),
                            callMs,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (called) {
                return;
            }
            called = true;
            timeout.cancel(false);
            calls.answer(request)
                    .addListener(
                            (Future<Answer> done) -> {
                                if (done.isSuccess()) {
                                    answer(done.getNow());
                                } else {
                                    Log.write(Event.CALL_FAILED, String.valueOf(done.cause()));
                                    answer(
                                            Answer.of(
                                                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                                                    "the call failed: see the log"));
                                }
                            });
        }

        /**
         * Answers once and ends the sending; what the caller still sends is read, lest a reset lose
         * the answer.
         */
        private void answer(Answer answer) {
            if (answered || !channel.isActive()) {
                return;
            }
            answered = true;
            called = true;
            timeout.cancel(false);
            timeout = loop.schedule(() -> channel.close(), callMs, TimeUnit.MILLISECONDS);
            channel.writeAndFlush(answer.response())
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
                    && (!called || answered)) {
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
        private final class Whole extends HttpObjectAggregator {
            Whole() {
                super(MOST_BODY);
            }

            @Override
            protected void handleOversizedMessage(
                    ChannelHandlerContext ctx, HttpMessage oversized) {
                answer(
                        Answer.of(
                                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                                "the body is too long"));
            }
        }
    }
}
