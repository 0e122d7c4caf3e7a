package frostrelay.rig.bench;

import frostrelay.rig.wire.MetaCodec;
import frostrelay.rig.wire.MetaMessage;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Reads over some connections on one event loop: in a closed loop, each connection asking again as
 * soon as it is answered, or at a given rate with latencies from the intended time on.
 */
final class ReadLoop {
    private static final long MOST_NANOS = 10_000_000_000L;
    private static final AtomicLong IDS = new AtomicLong();

    private final EventLoop loop;
    private final double rate;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private final List<Channel> channels = new ArrayList<>();
    private final Deque<Reader> free = new ArrayDeque<>();
    private final Deque<Long> due = new ArrayDeque<>();
    private final Histogram latency = new Histogram(MOST_NANOS, 3);
    private long served;
    private long bad;
    private boolean counting;
    private boolean stopped;
    private double nextAt;

    /**
     * {@code rate}: a second, 0 for a closed loop; the same {@code seed} asks for the same keys.
     */
    ReadLoop(EventLoop loop, double rate, long seed) {
        this.loop = loop;
        this.rate = rate;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.gaps = ZigguratSampler.Exponential.of(random);
    }

    void start(InetSocketAddress to, int connections) throws InterruptedException {
        for (int i = 0; i < connections; i++) {
            channels.add(
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel fresh) {
                                            fresh.pipeline().addLast(new MetaCodec(), new Reader());
                                        }
                                    })
                            .connect(to)
                            .sync()
                            .channel());
        }
        if (rate > 0) {
            loop.execute(
                    () -> {
                        nextAt = System.nanoTime();
                        pace();
                    });
        }
    }

    private void pace() {
        long now = System.nanoTime();
        while (nextAt <= now && !stopped) {
            due.add((long) nextAt);
            nextAt += gaps.sample() * 1e9 / rate;
        }
        while (!due.isEmpty() && !free.isEmpty()) {
            free.poll().ask(due.poll());
        }
        if (!stopped) {
            loop.schedule(
                    this::pace,
                    (long) Math.max(0, nextAt - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** From now on what is served counts. */
    void count() {
        loop.submit(() -> counting = true).syncUninterruptibly();
    }

    /** Ends; what was counted is final then. */
    void stop() {
        loop.submit(
                        () -> {
                            counting = false;
                            stopped = true;
                        })
                .syncUninterruptibly();
        channels.forEach(channel -> channel.close().syncUninterruptibly());
    }

    long served() {
        return served;
    }

    long bad() {
        return bad;
    }

    Histogram latency() {
        return latency;
    }

    private final class Reader extends SimpleChannelInboundHandler<MetaMessage> {
        private ChannelHandlerContext ctx;
        private long intended;
        private String id;

        @Override
        public void channelActive(ChannelHandlerContext active) {
            ctx = active;
            if (rate > 0) {
                free.add(this);
            } else {
                ask(System.nanoTime());
            }
        }

        void ask(long at) {
            intended = at;
            id = Long.toHexString(IDS.incrementAndGet());
            String key = String.format(Locale.ROOT, "%04x", random.nextInt(1 << 12));
            ctx.writeAndFlush(
                    MetaCodec.encode(
                            ctx.alloc(),
                            "mg " + key + " v O" + id + " Pc=read,t=bench,d=2000,h=100",
                            null));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, MetaMessage answer) {
            long now = System.nanoTime();
            boolean right = answer.word(0).equals("VA") && id.equals(answer.flag('O'));
            if (counting) {
                served += right ? 1 : 0;
                bad += right ? 0 : 1;
                latency.recordValue(Math.min(MOST_NANOS, now - intended));
            }
            if (stopped) {
                return;
            }
            if (rate == 0) {
                ask(now);
            } else {
                free.add(this);
                if (!due.isEmpty()) {
                    free.poll().ask(due.poll());
                }
            }
        }
    }
}
