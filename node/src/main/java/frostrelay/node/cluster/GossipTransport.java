package frostrelay.node.cluster;

import frostrelay.gossip.GossipNode;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.time.Clock;

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
 * The datagrams of one balancer: hands them to {@link GossipNode} and keeps its time. On the event
 * loop.
 */
final class GossipTransport extends SimpleChannelInboundHandler<DatagramPacket>
        implements GossipNode.Actions {
    /** One byte more than is ever valid, so that what is longer shows as such. */
    private static final int RECEIVE_BUFFER_BYTES = 257;

    private final EventLoop loop;
    private final InetSocketAddress listenAddress;
    private final List<InetSocketAddress> addresses;
    private final Map<InetSocketAddress, Integer> rankByAddress = new HashMap<>();
    private final byte[] receiveBuffer = new byte[RECEIVE_BUFFER_BYTES];
    private final Function<GossipNode.Actions, GossipNode> nodeFactory;
    private Channel channel;
    private GossipNode node;
    private Future<?> wakeTimer;
    private long wakeAtNanos = Long.MAX_VALUE;
    private long foreignDatagrams;

    /**
     * {@code addresses}: of all balancers of the tier in their order; {@code nodeFactory}: of a
     * talk from its begin on.
     */
    GossipTransport(
            EventLoop loop,
            InetSocketAddress listenAddress,
            List<InetSocketAddress> addresses,
            Function<GossipNode.Actions, GossipNode> nodeFactory) {
        this.loop = loop;
        this.listenAddress = listenAddress;
        this.addresses = addresses;
        this.nodeFactory = nodeFactory;
        for (int i = 0; i < addresses.size(); i++) {
            rankByAddress.put(addresses.get(i), i);
        }
    }

    /** Begins to talk, unless it does; {@code node} hears of it as an incarnation of its own. */
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
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                        .handler(this)
                        .bind(listenAddress)
                        .addListener(
                                bound -> {
                                    if (!bound.isSuccess()) {
                                        Log.write(
                                                Event.GOSSIP_DISABLED,
                                                String.valueOf(bound.cause().getMessage()));
                                        close();
                                    }
                                })
                        .channel();
        node = nodeFactory.apply(this);
        schedule();
    }

    /** Ends the talk: {@code announce} says so to some first. */
    void close(boolean announce) {
        if (node != null && announce) {
            node.leave(Clock.now());
        }
        close();
    }

    private void close() {
        node = null;
        if (wakeTimer != null) {
            wakeTimer.cancel(false);
            wakeTimer = null;
        }
        wakeAtNanos = Long.MAX_VALUE;
        if (channel != null) {
            channel.flush();
            channel.close();
            channel = null;
        }
    }

    /** The talk that goes on, or null. */
    GossipNode node() {
        return node;
    }

    /**
     * A module's cargo holds news: it goes out when it is due, not when the next datagram comes.
     */
    void onPayloadChanged() {
        if (node != null) {
            node.announcePayloadChange(Clock.now());
            schedule();
        }
    }

    /**
     * Sends one section of a module to a balancer now; false where the bounds on talk do not let it
     * through.
     */
    boolean sendSection(int to, int type, ByteBuffer section) {
        return node != null && node.send(Clock.now(), to, type, section);
    }

    /** Datagrams from addresses that are no peer's. */
    long foreignDatagrams() {
        return foreignDatagrams;
    }

    /** Something is to be told: it goes out when it is due, not when the next datagram comes. */
    void schedule() {
        if (node == null) {
            return;
        }
        long nextNanos = node.nextTimerAtNanos();
        if (nextNanos < wakeAtNanos) {
            if (wakeTimer != null) {
                wakeTimer.cancel(false);
            }
            wakeAtNanos = nextNanos;
            wakeTimer =
                    loop.schedule(
                            this::onTimer,
                            Math.max(0, nextNanos - Clock.now()),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void onTimer() {
        wakeAtNanos = Long.MAX_VALUE;
        wakeTimer = null;
        if (node != null) {
            node.onTimer(Clock.now());
            schedule();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        Integer rank = rankByAddress.get(packet.sender());
        if (node == null || rank == null) {
            foreignDatagrams++;
            return;
        }
        ByteBuf content = packet.content();
        int length = Math.min(RECEIVE_BUFFER_BYTES, content.readableBytes());
        content.readBytes(receiveBuffer, 0, length);
        node.onDatagram(Clock.now(), rank, receiveBuffer, length);
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
