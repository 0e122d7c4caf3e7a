package frostrelay.rig.link;

import frostrelay.rig.wire.Loopback;

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
 * A relay on loopback that copies bytes between two ends, and on demand delays, stalls, narrows,
 * cuts or resets them. Bytes are never lost, doubled or reordered within a direction, as on TCP.
 * Runs on one event loop; the public calls may come from any thread.
 */
public final class Link {
    /**
     * What the way does to bytes. {@code delay}: nanoseconds; {@code bytesPerSecond}: 0 for no
     * limit.
     */
    private record Way(long delay, long bytesPerSecond, boolean stalled, boolean refused) {}

    private static final Way CLEAR = new Way(0, 0, false, false);

    /** A way that holds more than this is read no further. */
    private static final int MOST_HELD = 256 * 1024;

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final Set<Half> halves = new LinkedHashSet<>();
    private Way way = CLEAR;

    /** {@code to}: the far end. */
    public Link(EventLoop loop, InetSocketAddress to) {
        this.loop = loop;
        this.to = to;
    }

    /** Listens; returns where. {@code port}: 0 lets the system choose. */
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
                                        fresh.pipeline().addLast(new Half(fresh));
                                    }
                                })
                        .bind(Loopback.port(port))
                        .sync()
                        .channel()
                        .localAddress();
    }

    /** Every byte comes so many nanoseconds later. */
    public void delay(long time) {
        change(new Way(time, way.bytesPerSecond, way.stalled, way.refused));
    }

    /** So many bytes a second in each direction of each connection; 0 for no limit. */
    public void bandwidth(long bytesPerSecond) {
        change(new Way(way.delay, bytesPerSecond, way.stalled, way.refused));
    }

    /** Nothing moves while this holds; connections stay open. */
    public void stall(boolean on) {
        change(new Way(way.delay, way.bytesPerSecond, on, way.refused));
    }

    /** Resets all connections, and new ones at once while this holds. */
    public void cut(boolean on) {
        change(new Way(way.delay, way.bytesPerSecond, way.stalled, on));
        if (on) {
            loop.execute(() -> List.copyOf(halves).forEach(Half::reset));
        }
    }

    private void change(Way fresh) {
        loop.execute(
                () -> {
                    way = fresh;
                    List.copyOf(halves).forEach(Half::drain);
                });
    }

    /** One end of a connection through the link; what it reads goes to its peer. */
    private final class Half extends ChannelInboundHandlerAdapter {
        private record Held(ByteBuf bytes, long due) {}

        private final SocketChannel channel;
        private final Queue<Held> held = new ArrayDeque<>();
        private Half peer;
        private long heldBytes;
        private long freeAt;
        private boolean ended;
        private boolean waking;

        Half(SocketChannel channel) {
            this.channel = channel;
        }

        private Half(SocketChannel channel, Half peer) {
            this(channel);
            this.peer = peer;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            halves.add(this);
            if (way.refused) {
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
                                        peer = new Half(fresh, Half.this);
                                        fresh.pipeline().addLast(peer);
                                    }
                                })
                        .connect(to)
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
            if (way == CLEAR && held.isEmpty()) {
                pass(bytes);
                return;
            }
            heldBytes += bytes.readableBytes();
            held.add(new Held(bytes, System.nanoTime() + way.delay));
            if (heldBytes > MOST_HELD) {
                channel.config().setAutoRead(false);
            }
            drain();
        }

        private void pass(ByteBuf bytes) {
            if (peer == null || !peer.channel.isActive()) {
                bytes.release();
                return;
            }
            peer.channel.writeAndFlush(bytes);
            channel.config().setAutoRead(peer.channel.isWritable());
        }

        /** Passes on what is due. */
        void drain() {
            long now = System.nanoTime();
            while (!held.isEmpty() && !way.stalled && held.peek().due <= now && freeAt <= now) {
                Held next = held.poll();
                int bytes = next.bytes.readableBytes();
                heldBytes -= bytes;
                freeAt =
                        way.bytesPerSecond == 0
                                ? 0
                                : now + bytes * 1_000_000_000L / way.bytesPerSecond;
                pass(next.bytes);
            }
            if (held.isEmpty() && ended) {
                finish();
            } else if (!held.isEmpty() && !way.stalled && !waking) {
                waking = true;
                loop.schedule(
                        () -> {
                            waking = false;
                            drain();
                        },
                        Math.max(0, Math.max(held.peek().due, freeAt) - now),
                        TimeUnit.NANOSECONDS);
            }
        }

        private void finish() {
            if (peer != null) {
                // Behind what is still being written.
                peer.channel
                        .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
                        .addListener(io.netty.channel.ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (peer != null && heldBytes <= MOST_HELD) {
                peer.channel.config().setAutoRead(channel.isWritable());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            halves.remove(this);
            ended = true;
            if (!way.stalled) {
                drain();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset of one end is one of the other too.
            if (peer != null) {
                peer.reset();
            }
            reset();
        }
    }
}
