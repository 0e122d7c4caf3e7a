package frostrelay.node;

import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.peers.Peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The datagrams of one balancer: hands them to {@link Peers} and keeps its time. On the event loop.
 */
final class PeerPort extends SimpleChannelInboundHandler<DatagramPacket> implements Peers.Actions {
    /** One byte more than is ever valid, so that what is longer shows as such. */
    private static final int READ = 257;

    private final EventLoop loop;
    private final InetSocketAddress listen;
    private final List<InetSocketAddress> addresses;
    private final Map<InetSocketAddress, Integer> ranks = new HashMap<>();
    private final byte[] bytes = new byte[READ];
    private final Function<Peers.Actions, Peers> maker;
    private Channel channel;
    private Peers peers;
    private Future<?> wake;
    private long wakeAt = Long.MAX_VALUE;
    private long foreign;

    /**
     * {@code addresses}: of all balancers of the tier in their order; {@code maker}: of a talk from
     * its begin on.
     */
    PeerPort(
            EventLoop loop,
            InetSocketAddress listen,
            List<InetSocketAddress> addresses,
            Function<Peers.Actions, Peers> maker) {
        this.loop = loop;
        this.listen = listen;
        this.addresses = addresses;
        this.maker = maker;
        for (int i = 0; i < addresses.size(); i++) {
            ranks.put(addresses.get(i), i);
        }
    }

    /** Begins to talk, unless it does; {@code peers} hears of it as an incarnation of its own. */
    void open() {
        if (channel != null) {
            return;
        }
        channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        // During an upgrade the older process has the address until it sees the
                        // younger one.
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ))
                        .handler(this)
                        .bind(listen)
                        .addListener(
                                bound -> {
                                    if (!bound.isSuccess()) {
                                        Log.write(
                                                Event.PEERS_SILENT,
                                                String.valueOf(bound.cause().getMessage()));
                                        close();
                                    }
                                })
                        .channel();
        peers = maker.apply(this);
        schedule();
    }

    /** Ends the talk: {@code leaving} says so to some first. */
    void close(boolean leaving) {
        if (peers != null && leaving) {
            peers.leave(Clock.now());
        }
        close();
    }

    private void close() {
        peers = null;
        if (wake != null) {
            wake.cancel(false);
            wake = null;
        }
        wakeAt = Long.MAX_VALUE;
        if (channel != null) {
            channel.flush();
            channel.close();
            channel = null;
        }
    }

    /** The talk that goes on, or null. */
    Peers peers() {
        return peers;
    }

    /**
     * A module's cargo holds news: it goes out when it is due, not when the next datagram comes.
     */
    void cargoChanged() {
        if (peers != null) {
            peers.cargoChanged(Clock.now());
            schedule();
        }
    }

    /**
     * Sends one section of a module to a balancer now; false where the bounds on talk do not let it
     * through.
     */
    boolean post(int to, int type, ByteBuffer section) {
        return peers != null && peers.post(Clock.now(), to, type, section);
    }

    /** Datagrams from addresses that are no peer's. */
    long foreign() {
        return foreign;
    }

    /** Something is to be told: it goes out when it is due, not when the next datagram comes. */
    void schedule() {
        if (peers == null) {
            return;
        }
        long next = peers.next();
        if (next < wakeAt) {
            if (wake != null) {
                wake.cancel(false);
            }
            wakeAt = next;
            wake = loop.schedule(this::wake, Math.max(0, next - Clock.now()), TimeUnit.NANOSECONDS);
        }
    }

    private void wake() {
        wakeAt = Long.MAX_VALUE;
        wake = null;
        if (peers != null) {
            peers.onWake(Clock.now());
            schedule();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        Integer rank = ranks.get(packet.sender());
        if (peers == null || rank == null) {
            foreign++;
            return;
        }
        ByteBuf content = packet.content();
        int length = Math.min(READ, content.readableBytes());
        content.readBytes(bytes, 0, length);
        peers.onDatagram(Clock.now(), rank, bytes, length);
        schedule();
    }

    @Override
    public void send(int to, byte[] data, int length) {
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(
                    new DatagramPacket(
                            channel.alloc().buffer(length).writeBytes(data, 0, length),
                            addresses.get(to)),
                    channel.voidPromise());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A refused datagram comes back as an error on some systems; it is lost, as any may be.
    }
}
