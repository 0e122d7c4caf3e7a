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

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** The UDP socket and the timer of a {@link GossipNode}. Runs on the event loop. */
final class GossipTransport extends SimpleChannelInboundHandler<DatagramPacket>
        implements GossipNode.Actions {
    /** One byte more than the longest valid datagram, so that longer ones are recognized. */
    private static final int RECEIVE_BUFFER_BYTES = 257;

    private final EventLoop loop;
    private final WakeupTimer timer;
    private final InetSocketAddress listenAddress;
    private final List<InetSocketAddress> addresses;
    private final Map<InetSocketAddress, Integer> rankByAddress = new HashMap<>();
    private final byte[] receiveBuffer = new byte[RECEIVE_BUFFER_BYTES];
    private final Function<GossipNode.Actions, GossipNode> nodeFactory;
    private Channel channel;
    private GossipNode node;
    private long foreignDatagrams;

    /**
     * Creates a transport that is closed.
     *
     * @param addresses of all balancers of the cluster, by rank
     * @param nodeFactory creates a node each time that gossip is started
     */
    GossipTransport(
            EventLoop loop,
            InetSocketAddress listenAddress,
            List<InetSocketAddress> addresses,
            Function<GossipNode.Actions, GossipNode> nodeFactory) {
        this.loop = loop;
        timer = new WakeupTimer(loop, this::onTimer);
        this.listenAddress = listenAddress;
        this.addresses = addresses;
        this.nodeFactory = nodeFactory;
        for (int i = 0; i < addresses.size(); i++) {
            rankByAddress.put(addresses.get(i), i);
        }
    }

    /** Binds the socket and starts a new gossip node, unless one runs. */
    void open() {
        if (channel != null) {
            return;
        }
        channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        // During an upgrade the old process keeps the address bound until it
                        // detects the new one.
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

    /** Stops gossip; {@code announce}: notifies some peers first. */
    void close(boolean announce) {
        if (node != null && announce) {
            node.leave(Clock.now());
        }
        close();
    }

    private void close() {
        node = null;
        timer.cancel();
        if (channel != null) {
            channel.flush();
            channel.close();
            channel = null;
        }
    }

    /** Returns the running gossip node, or null. */
    GossipNode node() {
        return node;
    }

    /** Notifies the node of new sections, which are sent when due, not on the next datagram. */
    void onPayloadChanged() {
        if (node != null) {
            node.announcePayloadChange(Clock.now());
            schedule();
        }
    }

    /** Sends one section to a peer; returns false if stopped or over the bandwidth limit. */
    boolean sendSection(int to, int type, ByteBuffer section) {
        return node != null && node.send(Clock.now(), to, type, section);
    }

    /** Returns the number of datagrams received from unknown addresses or while stopped. */
    long foreignDatagrams() {
        return foreignDatagrams;
    }

    /** Sets the timer to the node's next time; to be called after any event that may change it. */
    void schedule() {
        if (node == null) {
            return;
        }
        long nextNanos = node.nextTimerAtNanos();
        if (timer.isEarlier(nextNanos)) {
            timer.cancel();
            timer.schedule(nextNanos);
        }
    }

    private void onTimer() {
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
        // Some systems report an undeliverable datagram as an error; gossip tolerates lost ones.
    }
}
