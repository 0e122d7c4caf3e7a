package frostrelay.rig.archive;

import frostrelay.rig.wire.Loopback;
import frostrelay.rig.wire.MetaCodec;
import frostrelay.rig.wire.MetaMessage;

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
 * A stand-in for the one archive behind all caches: slow, with few places, and it falls over when
 * it is overdriven. Values name their key and version. Runs on one event loop; the public calls may
 * come from any thread.
 */
public final class ArchiveServer {
    private record Job(Channel channel, MetaMessage command) {}

    private final ArchiveSpec spec;
    private final EventLoop loop;
    private final UniformRandomProvider random;
    private final Map<String, Integer> versions = new HashMap<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Deque<Long> arrivals = new ArrayDeque<>();
    private final LongAdder taken = new LongAdder();
    private int busy;
    private double slow = 1;
    private long downUntil;
    private InetSocketAddress address;

    /** {@code seed}: for the times of fetches. */
    public ArchiveServer(ArchiveSpec spec, EventLoop loop, long seed) {
        this.spec = spec;
        this.loop = loop;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Listens; returns where. */
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
                                                        .addLast(new MetaCodec(), new Caller());
                                            }
                                        })
                                .bind(Loopback.port(0))
                                .sync()
                                .channel()
                                .localAddress();
        return address;
    }

    /** Answers nothing for so long, in nanoseconds. */
    public void outage(long time) {
        loop.execute(() -> fall(System.nanoTime(), time));
    }

    /** Fetches take {@code factor} times as long. */
    public void slow(double factor) {
        loop.execute(() -> slow = factor);
    }

    /** Fetches and writes that came so far. */
    public long taken() {
        return taken.sum();
    }

    private void fall(long now, long time) {
        downUntil = Math.max(downUntil, now + time);
        for (Job job : waiting) {
            refuse(job);
        }
        waiting.clear();
        arrivals.clear();
    }

    private void take(Job job) {
        long now = System.nanoTime();
        taken.increment();
        arrivals.add(now);
        while (arrivals.peek() < now - spec.fallWindow()) {
            arrivals.poll();
        }
        if (now < downUntil) {
            refuse(job);
        } else if (arrivals.size()
                > spec.fallMultiple() * spec.capacity() * spec.fallWindow() / 1e9) {
            fall(now, spec.fallTime());
            refuse(job);
        } else if (busy < spec.places()) {
            begin(job);
        } else if (waiting.size() < spec.queue()) {
            waiting.add(job);
        } else {
            refuse(job);
        }
    }

    private static void refuse(Job job) {
        write(job, "SERVER_ERROR busy O" + job.command.flag('O'), null);
    }

    private void begin(Job job) {
        busy++;
        // Half of a fetch is the same for all, the other half varies: neither a clock nor without
        // memory.
        double part = 0.5 - 0.5 * Math.log(1 - random.nextDouble());
        loop.schedule(() -> end(job), (long) (spec.time() * slow * part), TimeUnit.NANOSECONDS);
    }

    private void end(Job job) {
        busy--;
        if (System.nanoTime() < downUntil) {
            refuse(job);
        } else if (job.command.word(0).equals("ms")) {
            versions.merge(job.command.word(1), 1, Integer::sum);
            write(job, "HD O" + job.command.flag('O'), null);
        } else {
            byte[] value = value(job.command.word(1));
            write(job, "VA " + value.length + " O" + job.command.flag('O'), value);
        }
        while (busy < spec.places() && !waiting.isEmpty()) {
            begin(waiting.poll());
        }
    }

    /** The same key and version are always the same bytes. */
    private byte[] value(String key) {
        byte[] head =
                (key + '|' + versions.getOrDefault(key, 0) + '|')
                        .getBytes(StandardCharsets.ISO_8859_1);
        int size =
                head.length
                        + spec.value() / 2
                        + Math.floorMod(key.hashCode(), Math.max(1, spec.value()));
        byte[] value = Arrays.copyOf(head, size);
        Arrays.fill(value, head.length, size, (byte) ('a' + Math.floorMod(key.hashCode(), 26)));
        return value;
    }

    private static void write(Job job, String line, byte[] data) {
        if (job.channel.isActive()) {
            job.channel.writeAndFlush(MetaCodec.encode(job.channel.alloc(), line, data));
        }
    }

    private final class Caller extends SimpleChannelInboundHandler<MetaMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            take(new Job(ctx.channel(), message));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
