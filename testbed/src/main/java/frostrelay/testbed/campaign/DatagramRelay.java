package frostrelay.testbed.campaign;

import frostrelay.testbed.wire.Loopback;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Carries datagrams between balancers, each ordered pair by a way of its own that can be hurt.
 * Every balancer sees each other one at an address of its own: what comes from there was sent by
 * that one. Runs on one event loop; the public calls may come from any thread.
 */
final class DatagramRelay {
    /**
     * How one way is: parts of 1 for loss, doubles and damage, nanoseconds for the least and most
     * delay.
     */
    record NetworkPath(
            double lossProbability,
            double duplicationProbability,
            double corruptionProbability,
            long minDelayNanos,
            long maxDelayNanos,
            boolean cut) {
        static final NetworkPath CLEAR = new NetworkPath(0, 0, 0, 0, 0, false);

        NetworkPath withLoss(double probability) {
            return new NetworkPath(
                    probability,
                    duplicationProbability,
                    corruptionProbability,
                    minDelayNanos,
                    maxDelayNanos,
                    cut);
        }

        NetworkPath withDuplication(double probability) {
            return new NetworkPath(
                    lossProbability,
                    probability,
                    corruptionProbability,
                    minDelayNanos,
                    maxDelayNanos,
                    cut);
        }

        NetworkPath withCorruption(double probability) {
            return new NetworkPath(
                    lossProbability,
                    duplicationProbability,
                    probability,
                    minDelayNanos,
                    maxDelayNanos,
                    cut);
        }

        NetworkPath withDelay(long minNanos, long maxNanos) {
            return new NetworkPath(
                    lossProbability,
                    duplicationProbability,
                    corruptionProbability,
                    minNanos,
                    maxNanos,
                    cut);
        }

        NetworkPath withCut(boolean on) {
            return new NetworkPath(
                    lossProbability,
                    duplicationProbability,
                    corruptionProbability,
                    minDelayNanos,
                    maxDelayNanos,
                    on);
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress[] balancerAddresses;

    /** Where balancer i sees balancer j, by i and j. */
    private final Channel[][] proxyChannels;

    private final NetworkPath[][] paths;
    private final UniformRandomProvider[][] randomSources;
    private long datagramCount;
    private long byteCount;
    private long longestDatagramBytes;

    /** {@code balancerAddresses}: where the balancers take datagrams, in their order. */
    DatagramRelay(EventLoop loop, List<InetSocketAddress> balancerAddresses, long seed)
            throws InterruptedException {
        this.loop = loop;
        this.balancerAddresses = balancerAddresses.toArray(InetSocketAddress[]::new);
        int count = balancerAddresses.size();
        proxyChannels = new Channel[count][count];
        paths = new NetworkPath[count][count];
        randomSources = new UniformRandomProvider[count][count];
        for (int from = 0; from < count; from++) {
            for (int to = 0; to < count; to++) {
                paths[from][to] = NetworkPath.CLEAR;
                randomSources[from][to] =
                        RandomSource.XO_RO_SHI_RO_128_PP.create(
                                seed * 1_000_003 + from * 1_009L + to);
                if (from != to) {
                    proxyChannels[from][to] =
                            new Bootstrap()
                                    .group(loop)
                                    .channel(NioDatagramChannel.class)
                                    .handler(new ProxyHandler(from, to))
                                    .bind(Loopback.port(0))
                                    .sync()
                                    .channel();
                }
            }
        }
    }

    /** The addresses of all balancers as one of them sees them, its own included. */
    List<String> peers(int balancer) {
        List<String> peers = new ArrayList<>();
        for (int to = 0; to < balancerAddresses.length; to++) {
            peers.add(
                    Loopback.text(
                            to == balancer
                                    ? balancerAddresses[balancer]
                                    : (InetSocketAddress)
                                            proxyChannels[balancer][to].localAddress()));
        }
        return peers;
    }

    /** From now on the way from one balancer to another is so. */
    void changePath(int from, int to, java.util.function.UnaryOperator<NetworkPath> change) {
        loop.execute(() -> paths[from][to] = change.apply(paths[from][to]));
    }

    /** Sends bytes to a balancer as though another had: what a broken or hostile one may send. */
    void sendForged(int from, int to, byte[] bytes) {
        loop.execute(
                () ->
                        proxyChannels[to][from].writeAndFlush(
                                new DatagramPacket(
                                        Unpooled.wrappedBuffer(bytes), balancerAddresses[to])));
    }

    /** Datagrams and bytes that balancers have sent, and the longest datagram. */
    long[] traffic() {
        return loop.submit(() -> new long[] {datagramCount, byteCount, longestDatagramBytes})
                .syncUninterruptibly()
                .getNow();
    }

    /** What a balancer sends to the address at which it sees another. */
    private final class ProxyHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int from;
        private final int to;

        ProxyHandler(int from, int to) {
            this.from = from;
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (!packet.sender().equals(balancerAddresses[from])) {
                return;
            }
            datagramCount++;
            byteCount += packet.content().readableBytes();
            longestDatagramBytes = Math.max(longestDatagramBytes, packet.content().readableBytes());
            NetworkPath path = paths[from][to];
            UniformRandomProvider random = randomSources[from][to];
            if (path.cut || random.nextDouble() < path.lossProbability) {
                return;
            }
            forward(packet.content(), path, random);
            if (random.nextDouble() < path.duplicationProbability) {
                forward(packet.content(), path, random);
            }
        }

        private void forward(ByteBuf content, NetworkPath path, UniformRandomProvider random) {
            ByteBuf datagram = Unpooled.copiedBuffer(content);
            if (datagram.isReadable() && random.nextDouble() < path.corruptionProbability) {
                int at = random.nextInt(datagram.readableBytes());
                datagram.setByte(at, datagram.getByte(at) ^ 1 << random.nextInt(8));
            }
            long delay =
                    path.maxDelayNanos <= 0
                            ? 0
                            : path.minDelayNanos
                                    + random.nextLong(path.maxDelayNanos - path.minDelayNanos + 1);
            Runnable send =
                    () ->
                            proxyChannels[to][from].writeAndFlush(
                                    new DatagramPacket(datagram, balancerAddresses[to]));
            if (delay == 0) {
                send.run();
            } else {
                loop.schedule(send, delay, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A dead balancer's port answers with an error: the datagram is lost.
        }
    }
}
