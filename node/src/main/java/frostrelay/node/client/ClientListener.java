package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.metrics.Counters;
import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.ReadSizeLimit;
import frostrelay.node.net.TrafficMemory;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.time.Clock;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.concurrent.TimeUnit;

/**
 * A listener that accepts client connections up to a limit and closes those whose timeouts expire.
 * Runs on the event loop.
 */
public final class ClientListener {
    private static final int ACCEPT_BACKLOG = 1024;

    /**
     * The number of connections accepted per event loop iteration. All of them occupy a descriptor
     * before the first is handled, and a closed connection keeps its descriptor until the next
     * iteration, so a larger number could exhaust the descriptors.
     */
    private static final int MAX_ACCEPTS_PER_ITERATION = 16;

    /**
     * The system's buffer for a client's unread bytes. A fixed size keeps it from growing to
     * megabytes, whose progress shows seconds late, and from being cut down when the system's own
     * memory for sockets is short, which stops a connection for as long.
     */
    private static final int SEND_BUFFER_BYTES = 256 * 1024;

    private static final long ACCEPT_RETRY_MILLIS = 20;

    /**
     * The number of reads of one connection per event loop iteration, so that a flood on one
     * connection does not starve the others.
     */
    private static final int MAX_READS_PER_ITERATION = 4;

    private final RequestDispatcher dispatcher;
    private final EventLoop loop;
    private final Counters counters;
    private final TrafficMemory memory;
    private final ActionGuard guard;
    private final ConnectionLimiter<ClientConnection> limiter;
    private Channel listeningChannel;

    /**
     * Creates a listener that accepts nothing before {@link #listen}.
     *
     * @param maxConnections the limit on connections that are served
     * @param maxOverflow the limit on further connections, which are accepted to reject their
     *     requests
     */
    public ClientListener(
            RequestDispatcher dispatcher,
            EventLoop loop,
            Counters counters,
            TrafficMemory memory,
            ActionGuard guard,
            int maxConnections,
            int maxOverflow) {
        this.dispatcher = dispatcher;
        this.guard = guard;
        this.memory = memory;
        this.loop = loop;
        this.counters = counters;
        this.limiter = new ConnectionLimiter<>(loop, maxConnections, maxOverflow);
    }

    /** Starts to listen. The future is completed when the address is bound, or fails. */
    public ChannelFuture listen(InetSocketAddress address) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        // During an upgrade the old process and the new one both listen here.
                        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .handler(new AcceptErrorHandler())
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator()
                                        .maxMessagesPerRead(MAX_ACCEPTS_PER_ITERATION));
        ChannelFuture bindFuture = configureConnections(bootstrap).bind(address);
        listeningChannel = bindFuture.channel();
        return bindFuture;
    }

    private ServerBootstrap configureConnections(ServerBootstrap bootstrap) {
        return bootstrap
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel newChannel) {
                                initConnection((SocketChannel) newChannel);
                            }
                        });
    }

    private void initConnection(SocketChannel channel) {
        MetaDecoder decoder = MetaDecoder.forCommands(new MemoryAccount(memory.requests()));
        ClientConnection connection =
                new ClientConnection(channel, decoder, this, memory, MAX_READS_PER_ITERATION);
        channel.config()
                .setRecvByteBufAllocator(
                        new ReadSizeLimit(
                                MAX_READS_PER_ITERATION, true, connection.readAhead()::roomBytes));
        channel.pipeline().addLast(connection.readAhead(), decoder, connection);
    }

    /** Stops accepting connections. Open connections are not closed. */
    public void stopListening() {
        if (listeningChannel != null) {
            listeningChannel.close();
        }
    }

    /**
     * Changes the limit. Idle connections above it are evicted when further connections are
     * accepted.
     */
    public void setMaxConnections(int maxConnections) {
        limiter.setMaxConnections(maxConnections);
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return limiter.size();
    }

    /**
     * Returns by how many nanoseconds the transfer of responses that is the least behind its pace
     * is behind it; {@link Long#MAX_VALUE} if no response is being passed on.
     */
    public long leastTransferBehindNanos() {
        long now = Clock.now();
        return limiter.openConnections().stream()
                .mapToLong(connection -> connection.transferBehindNanos(now))
                .min()
                .orElse(PendingResponses.NO_TRANSFER);
    }

    /**
     * Closes connections whose timeouts have expired, because each occupies a descriptor and
     * memory. Must be called several times a second.
     */
    public void closeTimedOut() {
        long now = Clock.now();
        for (ClientConnection connection : limiter.openConnections()) {
            connection.checkTimeouts(now);
        }
    }

    EventLoop loop() {
        return loop;
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    Counters counters() {
        return counters;
    }

    ActionGuard guard() {
        return guard;
    }

    ConnectionLimiter<ClientConnection> limiter() {
        return limiter;
    }

    /**
     * A handler that pauses accepting after a failure, for example for lack of descriptors. An
     * immediate retry would keep the event loop busy.
     */
    private final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.warn(
                    "cannot accept a client connection; retrying in "
                            + ACCEPT_RETRY_MILLIS
                            + " ms: "
                            + cause);
            ctx.channel().config().setAutoRead(false);
            loop.schedule(
                    () -> ctx.channel().config().setAutoRead(true),
                    ACCEPT_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }
}
