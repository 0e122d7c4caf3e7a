package frostrelay.testbed.origin;

import frostrelay.testbed.wire.Loopback;
import frostrelay.testbed.wire.MetaCodec;
import frostrelay.testbed.wire.MetaMessage;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * A simulated origin shared by all caches: slow, with low concurrency, and with an outage after
 * overload. Values contain their key and version. Runs on one event loop; public methods may be
 * called from any thread.
 */
public final class OriginServer {
    private record Job(Channel channel, MetaMessage command) {}

    private final OriginSpec spec;
    private final EventLoop loop;
    private final UniformRandomProvider random;
    private final Map<String, Integer> versions = new HashMap<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Deque<Long> arrivals = new ArrayDeque<>();
    private final LongAdder acceptedCount = new LongAdder();
    private int activeJobs;
    private double slowdownFactor = 1;
    private long downUntilNanos;
    private InetSocketAddress address;

    /** Creates an origin. {@code seed}: for random fetch durations. */
    public OriginServer(OriginSpec spec, EventLoop loop, long seed) {
        this.spec = spec;
        this.loop = loop;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Starts listening and returns the address. */
    public InetSocketAddress start() throws InterruptedException {
        address =
                (InetSocketAddress)
                        new ServerBootstrap()
                                .group(loop, loop)
                                .channel(NioServerSocketChannel.class)
                                .childOption(ChannelOption.TCP_NODELAY, true)
                                .childHandler(
                                        new ChannelInitializer<SocketChannel>() {
                                            @Override
                                            protected void initChannel(SocketChannel fresh) {
                                                fresh.pipeline()
                                                        .addLast(
                                                                new MetaCodec(),
                                                                new RequestHandler());
                                            }
                                        })
                                .bind(Loopback.port(0))
                                .sync()
                                .channel()
                                .localAddress();
        return address;
    }

    /** Rejects all requests for a duration in nanoseconds. */
    public void startOutage(long durationNanos) {
        loop.execute(() -> goDown(System.nanoTime(), durationNanos));
    }

    /** Multiplies the duration of fetches by a factor. */
    public void setSlowdown(double factor) {
        loop.execute(() -> slowdownFactor = factor);
    }

    /** Returns the number of fetches and writes received so far. */
    public long acceptedCount() {
        return acceptedCount.sum();
    }

    private void goDown(long now, long durationNanos) {
        downUntilNanos = Math.max(downUntilNanos, now + durationNanos);
        for (Job job : waiting) {
            reject(job);
        }
        waiting.clear();
        arrivals.clear();
    }

    private void accept(Job job) {
        long now = System.nanoTime();
        acceptedCount.increment();
        arrivals.add(now);
        while (arrivals.peek() < now - spec.overloadWindowNanos()) {
            arrivals.poll();
        }
        if (now < downUntilNanos) {
            reject(job);
        } else if (arrivals.size()
                > spec.overloadMultiple()
                        * spec.fetchesPerSecond()
                        * spec.overloadWindowNanos()
                        / 1e9) {
            goDown(now, spec.outageNanos());
            reject(job);
        } else if (activeJobs < spec.concurrency()) {
            startJob(job);
        } else if (waiting.size() < spec.queueCapacity()) {
            waiting.add(job);
        } else {
            reject(job);
        }
    }

    private static void reject(Job job) {
        write(job, "SERVER_ERROR busy O" + job.command.flag('O'), null);
    }

    private void startJob(Job job) {
        activeJobs++;
        // Half of the mean duration is constant and half exponentially distributed, so that
        // durations are neither deterministic nor memoryless.
        double timeFactor = 0.5 - 0.5 * Math.log(1 - random.nextDouble());
        loop.schedule(
                () -> finishJob(job),
                (long) (spec.meanFetchNanos() * slowdownFactor * timeFactor),
                TimeUnit.NANOSECONDS);
    }

    private void finishJob(Job job) {
        activeJobs--;
        if (System.nanoTime() < downUntilNanos) {
            reject(job);
        } else if (job.command.token(0).equals("ms")) {
            versions.merge(job.command.token(1), 1, Integer::sum);
            write(job, "HD O" + job.command.flag('O'), null);
        } else {
            byte[] value = value(job.command.token(1));
            write(job, "VA " + value.length + " O" + job.command.flag('O'), value);
        }
        while (activeJobs < spec.concurrency() && !waiting.isEmpty()) {
            startJob(waiting.poll());
        }
    }

    /** Returns the value of a key, which is identical for the same key and version. */
    private byte[] value(String key) {
        byte[] head =
                (key + '|' + versions.getOrDefault(key, 0) + '|')
                        .getBytes(StandardCharsets.ISO_8859_1);
        int size =
                head.length
                        + spec.meanValueBytes() / 2
                        + Math.floorMod(key.hashCode(), Math.max(1, spec.meanValueBytes()));
        byte[] value = Arrays.copyOf(head, size);
        Arrays.fill(value, head.length, size, (byte) ('a' + Math.floorMod(key.hashCode(), 26)));
        return value;
    }

    private static void write(Job job, String line, byte[] data) {
        if (job.channel.isActive()) {
            job.channel.writeAndFlush(MetaCodec.encode(job.channel.alloc(), line, data));
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<MetaMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            accept(new Job(ctx.channel(), message));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
