package frostrelay.rig.campaign;

import frostrelay.rig.wire.Loopback;

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
    record Way(
            double loss,
            double doubled,
            double damaged,
            long delayLeast,
            long delayMost,
            boolean cut) {
        static final Way CLEAR = new Way(0, 0, 0, 0, 0, false);

        Way lossy(double part) {
            return new Way(part, doubled, damaged, delayLeast, delayMost, cut);
        }

        Way doubling(double part) {
            return new Way(loss, part, damaged, delayLeast, delayMost, cut);
        }

        Way damaging(double part) {
            return new Way(loss, doubled, part, delayLeast, delayMost, cut);
        }

        Way delaying(long least, long most) {
            return new Way(loss, doubled, damaged, least, most, cut);
        }

        Way cutting(boolean on) {
            return new Way(loss, doubled, damaged, delayLeast, delayMost, on);
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress[] listens;

    /** Where balancer i sees balancer j, by i and j. */
    private final Channel[][] sights;

    private final Way[][] ways;
    private final UniformRandomProvider[][] randoms;
    private long carried;
    private long carriedBytes;
    private long longest;

    /** {@code listens}: where the balancers take datagrams, in their order. */
    DatagramRelay(EventLoop loop, List<InetSocketAddress> listens, long seed)
            throws InterruptedException {
        this.loop = loop;
        this.listens = listens.toArray(InetSocketAddress[]::new);
        int count = listens.size();
        sights = new Channel[count][count];
        ways = new Way[count][count];
        randoms = new UniformRandomProvider[count][count];
        for (int from = 0; from < count; from++) {
            for (int to = 0; to < count; to++) {
                ways[from][to] = Way.CLEAR;
                randoms[from][to] =
                        RandomSource.XO_RO_SHI_RO_128_PP.create(
                                seed * 1_000_003 + from * 1_009L + to);
                if (from != to) {
                    sights[from][to] =
                            new Bootstrap()
                                    .group(loop)
                                    .channel(NioDatagramChannel.class)
                                    .handler(new Sight(from, to))
                                    .bind(Loopback.port(0))
                                    .sync()
                                    .channel();
                }
            }
        }
    }

    /** The addresses of all balancers as one of them sees them, its own included. */
    List<String> peers(int of) {
        List<String> peers = new ArrayList<>();
        for (int to = 0; to < listens.length; to++) {
            peers.add(
                    Loopback.text(
                            to == of
                                    ? listens[of]
                                    : (InetSocketAddress) sights[of][to].localAddress()));
        }
        return peers;
    }

    /** From now on the way from one balancer to another is so. */
    void way(int from, int to, java.util.function.UnaryOperator<Way> change) {
        loop.execute(() -> ways[from][to] = change.apply(ways[from][to]));
    }

    /** Sends bytes to a balancer as though another had: what a broken or hostile one may send. */
    void forge(int from, int to, byte[] bytes) {
        loop.execute(
                () ->
                        sights[to][from].writeAndFlush(
                                new DatagramPacket(Unpooled.wrappedBuffer(bytes), listens[to])));
    }

    /** Datagrams and bytes that balancers have sent, and the longest datagram. */
    long[] carried() {
        return loop.submit(() -> new long[] {carried, carriedBytes, longest})
                .syncUninterruptibly()
                .getNow();
    }

    /** What a balancer sends to the address at which it sees another. */
    private final class Sight extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int from;
        private final int to;

        Sight(int from, int to) {
            this.from = from;
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (!packet.sender().equals(listens[from])) {
                return;
            }
            carried++;
            carriedBytes += packet.content().readableBytes();
            longest = Math.max(longest, packet.content().readableBytes());
            Way way = ways[from][to];
            UniformRandomProvider random = randoms[from][to];
            if (way.cut || random.nextDouble() < way.loss) {
                return;
            }
            pass(packet.content(), way, random);
            if (random.nextDouble() < way.doubled) {
                pass(packet.content(), way, random);
            }
        }

        private void pass(ByteBuf content, Way way, UniformRandomProvider random) {
            ByteBuf copy = Unpooled.copiedBuffer(content);
            if (copy.isReadable() && random.nextDouble() < way.damaged) {
                int at = random.nextInt(copy.readableBytes());
                copy.setByte(at, copy.getByte(at) ^ 1 << random.nextInt(8));
            }
            long delay =
                    way.delayMost <= 0
                            ? 0
                            : way.delayLeast + random.nextLong(way.delayMost - way.delayLeast + 1);
            Runnable send =
                    () -> sights[to][from].writeAndFlush(new DatagramPacket(copy, listens[to]));
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
