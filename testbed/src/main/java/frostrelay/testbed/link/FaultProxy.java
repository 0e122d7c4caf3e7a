package frostrelay.testbed.link;

import frostrelay.testbed.wire.Loopback;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy on loopback that can delay, stall, throttle or reset its connections. As in TCP,
 * bytes are never lost, duplicated or reordered within a direction. Runs on one event loop; public
 * methods may be called from any thread.
 */
public final class FaultProxy {
    /**
     * The simulated network conditions. {@code delayNanos}: nanoseconds; {@code bytesPerSecond}: 0
     * for no limit.
     */
    private record Conditions(
            long delayNanos, long bytesPerSecond, boolean isStalled, boolean isCut) {}

    private static final Conditions NO_FAULT = new Conditions(0, 0, false, false);

    /** Reading pauses while a direction buffers more than this. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Set<ProxyEndpoint> endpoints = new LinkedHashSet<>();
    private Conditions conditions = NO_FAULT;

    /** Creates a proxy. {@code target}: the address to which connections are forwarded. */
    public FaultProxy(EventLoop loop, InetSocketAddress target) {
        this.loop = loop;
        this.target = target;
    }

    /** Starts listening and returns the address. {@code port}: 0 for any free port. */
    public InetSocketAddress listen(int port) throws InterruptedException {
        return (InetSocketAddress)
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        fresh.pipeline().addLast(new ProxyEndpoint(fresh));
                                    }
                                })
                        .bind(Loopback.port(port))
                        .sync()
                        .channel()
                        .localAddress();
    }

    /** Delays all bytes by a time in nanoseconds. */
    public void setDelay(long delayNanos) {
        apply(
                new Conditions(
                        delayNanos,
                        conditions.bytesPerSecond,
                        conditions.isStalled,
                        conditions.isCut));
    }

    /** Limits the bytes per second in each direction of each connection; 0 for no limit. */
    public void setBandwidth(long bytesPerSecond) {
        apply(
                new Conditions(
                        conditions.delayNanos,
                        bytesPerSecond,
                        conditions.isStalled,
                        conditions.isCut));
    }

    /** Stops or resumes all transfer; connections stay open. */
    public void setStalled(boolean isActive) {
        apply(
                new Conditions(
                        conditions.delayNanos,
                        conditions.bytesPerSecond,
                        isActive,
                        conditions.isCut));
    }

    /** Resets all connections, and new ones immediately while active. */
    public void setCut(boolean isActive) {
        apply(
                new Conditions(
                        conditions.delayNanos,
                        conditions.bytesPerSecond,
                        conditions.isStalled,
                        isActive));
        if (isActive) {
            loop.execute(() -> List.copyOf(endpoints).forEach(ProxyEndpoint::reset));
        }
    }

    private void apply(Conditions newConditions) {
        loop.execute(
                () -> {
                    conditions = newConditions;
                    List.copyOf(endpoints).forEach(ProxyEndpoint::drain);
                });
    }

    /** One side of a proxied connection; bytes that it reads are written to its peer. */
    private final class ProxyEndpoint extends ChannelInboundHandlerAdapter {
        private record BufferedBytes(ByteBuf bytes, long dueAtNanos) {}

        private final SocketChannel channel;
        private final Queue<BufferedBytes> buffered = new ArrayDeque<>();
        private ProxyEndpoint peer;
        private long bufferedBytes;
        private long writableAtNanos;
        private boolean isEnded;
        private boolean isDrainScheduled;

        ProxyEndpoint(SocketChannel channel) {
            this.channel = channel;
        }

        private ProxyEndpoint(SocketChannel channel, ProxyEndpoint peer) {
            this(channel);
            this.peer = peer;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            endpoints.add(this);
            if (conditions.isCut) {
                reset();
            } else if (peer == null) {
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        peer = new ProxyEndpoint(fresh, ProxyEndpoint.this);
                                        fresh.pipeline().addLast(peer);
                                    }
                                })
                        .connect(target)
                        .addListener(
                                up -> {
                                    if (up.isSuccess()) {
                                        channel.config().setAutoRead(true);
                                    } else {
                                        reset();
                                    }
                                });
            }
        }

        void reset() {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (conditions == NO_FAULT && buffered.isEmpty()) {
                forward(bytes);
                return;
            }
            bufferedBytes += bytes.readableBytes();
            buffered.add(new BufferedBytes(bytes, System.nanoTime() + conditions.delayNanos));
            if (bufferedBytes > MAX_BUFFERED_BYTES) {
                channel.config().setAutoRead(false);
            }
            drain();
        }

        private void forward(ByteBuf bytes) {
            if (peer == null || !peer.channel.isActive()) {
                bytes.release();
                return;
            }
            peer.channel.writeAndFlush(bytes);
            channel.config().setAutoRead(peer.channel.isWritable());
        }

        /** Forwards all buffered bytes that are due. */
        void drain() {
            long now = System.nanoTime();
            while (!buffered.isEmpty()
                    && !conditions.isStalled
                    && buffered.peek().dueAtNanos <= now
                    && writableAtNanos <= now) {
                BufferedBytes next = buffered.poll();
                int bytes = next.bytes.readableBytes();
                bufferedBytes -= bytes;
                writableAtNanos =
                        conditions.bytesPerSecond == 0
                                ? 0
                                : now + bytes * 1_000_000_000L / conditions.bytesPerSecond;
                forward(next.bytes);
            }
            if (buffered.isEmpty() && isEnded) {
                finish();
            } else if (!buffered.isEmpty() && !conditions.isStalled && !isDrainScheduled) {
                isDrainScheduled = true;
                loop.schedule(
                        () -> {
                            isDrainScheduled = false;
                            drain();
                        },
                        Math.max(0, Math.max(buffered.peek().dueAtNanos, writableAtNanos) - now),
                        TimeUnit.NANOSECONDS);
            }
        }

        private void finish() {
            if (peer != null) {
                // Closes after pending writes.
                peer.channel
                        .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
                        .addListener(io.netty.channel.ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (peer != null && bufferedBytes <= MAX_BUFFERED_BYTES) {
                peer.channel.config().setAutoRead(channel.isWritable());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            endpoints.remove(this);
            isEnded = true;
            if (!conditions.isStalled) {
                drain();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset of one side resets the other side, too.
            if (peer != null) {
                peer.reset();
            }
            reset();
        }
    }
}
