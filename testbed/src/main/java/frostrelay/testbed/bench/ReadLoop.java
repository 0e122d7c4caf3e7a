package frostrelay.testbed.bench;

import frostrelay.testbed.wire.MetaCodec;
import frostrelay.testbed.wire.MetaMessage;

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
 * Sends reads over several connections on one event loop: in a closed loop, in which each
 * connection sends the next request after a response, or at a fixed rate with latencies measured
 * from the intended send time.
 */
final class ReadLoop {
    private static final long MAX_LATENCY_NANOS = 10_000_000_000L;
    private static final AtomicLong IDS = new AtomicLong();

    private final EventLoop loop;
    private final double requestsPerSecond;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private final List<Channel> channels = new ArrayList<>();
    private final Deque<Reader> idleReaders = new ArrayDeque<>();
    private final Deque<Long> dueTimes = new ArrayDeque<>();
    private final Histogram latency = new Histogram(MAX_LATENCY_NANOS, 3);
    private long served;
    private long errors;
    private boolean isRecording;
    private boolean isStopped;
    private double nextAtNanos;

    /**
     * Creates a load generator. {@code requestsPerSecond}: 0 for a closed loop; the same {@code
     * seed} gives the same keys.
     */
    ReadLoop(EventLoop loop, double requestsPerSecond, long seed) {
        this.loop = loop;
        this.requestsPerSecond = requestsPerSecond;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.gaps = ZigguratSampler.Exponential.of(random);
    }

    void start(InetSocketAddress address, int connections) throws InterruptedException {
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
                            .connect(address)
                            .sync()
                            .channel());
        }
        if (requestsPerSecond > 0) {
            loop.execute(
                    () -> {
                        nextAtNanos = System.nanoTime();
                        issueDueReads();
                    });
        }
    }

    private void issueDueReads() {
        long now = System.nanoTime();
        while (nextAtNanos <= now && !isStopped) {
            dueTimes.add((long) nextAtNanos);
            nextAtNanos += gaps.sample() * 1e9 / requestsPerSecond;
        }
        while (!dueTimes.isEmpty() && !idleReaders.isEmpty()) {
            idleReaders.poll().sendRead(dueTimes.poll());
        }
        if (!isStopped) {
            loop.schedule(
                    this::issueDueReads,
                    (long) Math.max(0, nextAtNanos - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Starts to count served requests. */
    void startRecording() {
        loop.submit(() -> isRecording = true).syncUninterruptibly();
    }

    /** Stops the load; the counts are final afterwards. */
    void stop() {
        loop.submit(
                        () -> {
                            isRecording = false;
                            isStopped = true;
                        })
                .syncUninterruptibly();
        channels.forEach(channel -> channel.close().syncUninterruptibly());
    }

    long served() {
        return served;
    }

    long errors() {
        return errors;
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
            if (requestsPerSecond > 0) {
                idleReaders.add(this);
            } else {
                sendRead(System.nanoTime());
            }
        }

        void sendRead(long intendedAtNanos) {
            intended = intendedAtNanos;
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
            boolean right = answer.token(0).equals("VA") && id.equals(answer.flag('O'));
            if (isRecording) {
                served += right ? 1 : 0;
                errors += right ? 0 : 1;
                latency.recordValue(Math.min(MAX_LATENCY_NANOS, now - intended));
            }
            if (isStopped) {
                return;
            }
            if (requestsPerSecond == 0) {
                sendRead(now);
            } else {
                idleReaders.add(this);
                if (!dueTimes.isEmpty()) {
                    idleReaders.poll().sendRead(dueTimes.poll());
                }
            }
        }
    }
}
