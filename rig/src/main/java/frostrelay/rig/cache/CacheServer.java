package frostrelay.rig.cache;

import frostrelay.rig.archive.ArchiveClient;
import frostrelay.rig.referee.ColdMeter;
import frostrelay.rig.referee.Referee;
import frostrelay.rig.wire.Loopback;
import frostrelay.rig.wire.MetaCodec;
import frostrelay.rig.wire.MetaMessage;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * A stand-in for a cache machine on loopback: memcache meta commands, read-through from the
 * archive, bounded memory, slots and queue, a cold start, and the faults that operators meet. It
 * listens once for each balancer, so that it can tell who sent what. All of it runs on one event
 * loop; the public calls may come from any thread.
 */
public final class CacheServer {
    private static final String FAILED = "SERVER_ERROR failed";
    private static final double COLD_TICK = 20e6;

    /** Work differs from what the command's hint says by at most this part, by the request's id. */
    private static final double HINT_ERROR = 0.15;

    private static final long MICROSECOND = 1_000L;
    private static final long MILLISECOND = 1_000_000L;
    private static final long DEFAULT_WORK_US = 1_000;
    private static final long START_MS = 50;

    /** One command that came and has not been answered. */
    private final class Job {
        final Connection connection;
        final MetaMessage command;
        final String id;
        boolean gone;

        Job(Connection connection, MetaMessage command) {
            this.connection = connection;
            this.command = command;
            this.id = command.flag('O') == null ? "" : command.flag('O');
        }

        boolean write() {
            return command.word(0).equals("ms");
        }

        String key() {
            return command.word(1);
        }
    }

    private final String name;
    private final CacheSpec spec;
    private final EventLoop loop;
    private final ArchiveClient archive;
    private final RepeatFilter repeats;
    private final Referee referee;
    private final List<CacheServer> fleet;
    private final Map<String, InetSocketAddress> listens = new HashMap<>();
    private final List<Channel> servers = new ArrayList<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<String, List<Job>> fetching = new HashMap<>();
    private final LongAdder hits = new LongAdder();
    private final LongAdder misses = new LongAdder();
    private Store store;
    private WorkEngine<Job> engine;
    private ColdMeter meter;
    private long startedAt;
    private boolean cold;
    private double slow = 1;
    private boolean silent;
    private boolean failsWrites;
    private boolean down;
    private Future<?> tick;
    private long tickAt = Long.MAX_VALUE;
    private int held;

    /**
     * {@code fleet}: all caches, this one included, whose copies a write voids; read at each write.
     */
    public CacheServer(
            String name,
            CacheSpec spec,
            EventLoop loop,
            ArchiveClient archive,
            RepeatFilter repeats,
            Referee referee,
            List<CacheServer> fleet) {
        this.name = name;
        this.spec = spec;
        this.loop = loop;
        this.archive = archive;
        this.repeats = repeats;
        this.referee = referee;
        this.fleet = fleet;
        restore(false);
    }

    /** Listens for one balancer; returns where. */
    public InetSocketAddress listen(String balancer) throws InterruptedException {
        Channel server = bootstrap(balancer).bind(Loopback.port(0)).sync().channel();
        InetSocketAddress address = (InetSocketAddress) server.localAddress();
        loop.submit(
                        () -> {
                            listens.put(balancer, address);
                            servers.add(server);
                        })
                .sync();
        return address;
    }

    private ServerBootstrap bootstrap(String balancer) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel fresh) {
                                fresh.pipeline()
                                        .addLast(new MetaCodec(), new Connection(fresh, balancer));
                            }
                        });
    }

    private static long now() {
        return System.nanoTime();
    }

    private void restore(boolean empty) {
        store = new Store(spec.memory());
        engine = new WorkEngine<>(spec.cores(), spec.slots(), spec.queue());
        startedAt = now();
        cold = empty;
        meter = empty ? new ColdMeter(spec.warmth(), spec.cores(), startedAt) : null;
        engine.speed(startedAt, speed(startedAt));
    }

    private double speed(long now) {
        return (cold ? spec.warmth().part(now - startedAt) : 1) / slow;
    }

    // Faults and operators' calls.

    /** The process dies: connections are reset, new ones refused. */
    public void kill() {
        loop.execute(this::die);
    }

    private void die() {
        if (down) {
            return;
        }
        down = true;
        servers.forEach(Channel::close);
        servers.clear();
        for (Connection connection : List.copyOf(connections)) {
            connection.channel.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.channel.close();
        }
        engine.clear(now());
        fetching.clear();
    }

    /**
     * The process starts again, empty and cold, at its old addresses; it is killed first if it
     * runs. {@code started} runs once it does, on the cache's loop.
     */
    public void restart(Runnable started) {
        loop.execute(
                () -> {
                    die();
                    loop.schedule(() -> revive(started), START_MS, TimeUnit.MILLISECONDS);
                });
    }

    private void revive(Runnable started) {
        restore(true);
        referee.started(startedAt, name);
        silent = false;
        down = false;
        started.run();
        listens.forEach(this::listenAgain);
    }

    /**
     * Another socket of this machine may have been given the port meanwhile: then it is tried until
     * it is free.
     */
    private void listenAgain(String balancer, InetSocketAddress address) {
        long start = startedAt;
        bootstrap(balancer)
                .bind(address)
                .addListener(
                        (ChannelFuture bound) -> {
                            if (bound.isSuccess()) {
                                servers.add(bound.channel());
                            } else {
                                loop.schedule(
                                        () -> {
                                            if (!down && startedAt == start) {
                                                listenAgain(balancer, address);
                                            }
                                        },
                                        START_MS,
                                        TimeUnit.MILLISECONDS);
                            }
                        });
    }

    /**
     * Another program takes part of the machine: work takes {@code factor} times as long, 1 or
     * more.
     */
    public void slow(double factor) {
        loop.execute(
                () -> {
                    slow = factor;
                    engine.speed(now(), speed(now()));
                    schedule();
                });
    }

    /** The machine says nothing and reads nothing; its connections stay open. */
    public void silence(boolean on) {
        loop.execute(
                () -> {
                    silent = on;
                    connections.forEach(connection -> connection.channel.config().setAutoRead(!on));
                    schedule();
                });
    }

    /** Each write is answered as failed, before anything of it ran. */
    public void failWrites(boolean on) {
        loop.execute(() -> failsWrites = on);
    }

    /** The copy of a key goes void. */
    public void invalidate(String key) {
        loop.execute(() -> store.remove(key));
    }

    /** The name in the list. */
    public String name() {
        return name;
    }

    /** Reads that were served from memory so far. */
    public long hits() {
        return hits.sum();
    }

    /** Reads that were fetched so far. */
    public long misses() {
        return misses.sum();
    }

    // Work.

    private void accept(Job job) {
        long now = now();
        double work = work(job);
        if (!job.id.isEmpty()) {
            referee.received(now, name, job.connection.balancer, job.id, work);
            String waited = job.command.figure("d");
            if (waited != null) {
                referee.told(
                        now,
                        name,
                        job.connection.balancer,
                        job.id,
                        now + Long.parseLong(waited) * MILLISECOND);
            }
            referee.watcher().command(now, name, job.connection.balancer, job.id);
        }
        if (meter != null && meter.reached(now, work)) {
            // Sent more than it bears so soon after its start, it falls over and stays down.
            die();
            return;
        }
        if (engine.offer(now, job, work) == WorkEngine.Offer.FULL) {
            job.connection.answer(job, "SERVER_ERROR busy", null);
        }
        schedule();
    }

    private double work(Job job) {
        String hint = job.command.figure("h");
        double micros = hint == null ? DEFAULT_WORK_US : Double.parseDouble(hint);
        // Spread by the id alone: the same plan asks the same work of every balancer.
        double spread = Math.floorMod(job.id.hashCode() * 0x9E3779B9L, 2_001L) / 1_000.0 - 1;
        return micros * MICROSECOND * (1 + HINT_ERROR * spread);
    }

    private void schedule() {
        long next =
                cold && engine.running() > 0
                        ? Math.min(engine.next(), now() + (long) COLD_TICK)
                        : engine.next();
        if (silent || down || next == Long.MAX_VALUE) {
            return;
        }
        if (tick != null && !tick.isDone() && tickAt <= next && tickAt >= now()) {
            return;
        }
        if (tick != null) {
            tick.cancel(false);
        }
        tickAt = next;
        tick = loop.schedule(this::progress, Math.max(0, next - now()), TimeUnit.NANOSECONDS);
    }

    private void progress() {
        tick = null;
        if (silent || down) {
            return;
        }
        long now = now();
        if (cold) {
            engine.speed(now, speed(now));
            cold = now - startedAt < spec.warmth().within();
        }
        for (Job job : engine.finished(now)) {
            if (!job.gone || !spec.cancelStops()) {
                worked(job);
            }
        }
        schedule();
    }

    /** Its share of the machine is done: now memory or the archive. */
    private void worked(Job job) {
        if (job.write()) {
            write(job);
            return;
        }
        byte[] kept = store.get(job.key());
        if (kept != null) {
            hits.increment();
            serve(job, kept, "h1");
            return;
        }
        misses.increment();
        List<Job> others = fetching.get(job.key());
        if (others != null && spec.coalesce()) {
            others.add(job);
            return;
        }
        List<Job> all = new ArrayList<>(List.of(job));
        fetching.put(job.key(), all);
        Store into = store;
        archive.fetch(
                job.key(),
                spec.fetchTimeout(),
                value -> loop.execute(() -> fetched(job.key(), all, into, value)));
    }

    private void fetched(String key, List<Job> waiting, Store into, byte[] value) {
        fetching.remove(key, waiting);
        if (into != store) {
            return;
        }
        if (value != null) {
            store.put(key, value);
        }
        for (Job job : waiting) {
            if (value == null) {
                job.connection.answer(job, FAILED, null);
            } else {
                serve(job, value, "h0");
            }
        }
    }

    /** Every answer carries the id it was made for, so that nobody else's can pass for it. */
    private void serve(Job job, byte[] value, String flag) {
        byte[] head = (job.id + '|').getBytes(StandardCharsets.ISO_8859_1);
        byte[] own = new byte[head.length + value.length];
        System.arraycopy(head, 0, own, 0, head.length);
        System.arraycopy(value, 0, own, head.length, value.length);
        referee.made(job.id, Referee.content(own));
        job.connection.answer(job, "VA " + own.length + " O" + job.id + ' ' + flag, own);
    }

    private void write(Job job) {
        if (failsWrites) {
            job.connection.answer(job, FAILED, null);
            return;
        }
        String key = job.command.figure("k");
        String receipt = repeats.receipt();
        String first = key == null ? null : repeats.repeats(now(), key, receipt);
        if (first != null) {
            receipted(job, first);
            return;
        }
        // From here on it may have run, whatever the archive's answer.
        referee.ran(now(), job.id, key);
        archive.write(
                job.key(),
                job.command.data(),
                spec.fetchTimeout(),
                done ->
                        loop.execute(
                                () -> {
                                    fleet.forEach(cache -> cache.invalidate(job.key()));
                                    if (done) {
                                        receipted(job, receipt);
                                    } else {
                                        job.connection.answer(job, FAILED, null);
                                    }
                                }));
    }

    private void receipted(Job job, String receipt) {
        referee.made(job.id, Referee.content(receipt.getBytes(StandardCharsets.ISO_8859_1)));
        job.connection.answer(job, "HD O" + job.id + " c" + receipt, null);
    }

    private String report() {
        return String.format(
                Locale.ROOT,
                "inflight=%d,queue=%d,util=%.2f",
                engine.running(),
                engine.waiting(),
                Math.min(1.0, engine.running() / (double) spec.cores()));
    }

    /**
     * One balancer's connection: commands in order, one at a time, the others wait unread or
     * unanswered.
     */
    private final class Connection extends SimpleChannelInboundHandler<MetaMessage> {
        final SocketChannel channel;
        final String balancer;
        private final Deque<Job> jobs = new ArrayDeque<>();

        Connection(SocketChannel channel, String balancer) {
            this.channel = channel;
            this.balancer = balancer;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (down || ++held > spec.connections()) {
                ctx.close();
                return;
            }
            connections.add(this);
            channel.config().setAutoRead(!silent);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            switch (message.word(0)) {
                case "mg", "ms" -> {
                    Job job = new Job(this, message);
                    jobs.add(job);
                    if (jobs.size() == 1) {
                        accept(job);
                    }
                }
                case "mn" -> channel.writeAndFlush(MetaCodec.encode(ctx.alloc(), "MN", null));
                case "stats" ->
                        channel.writeAndFlush(
                                MetaCodec.encode(
                                        ctx.alloc(),
                                        "STAT "
                                                + report().replace("=", " ")
                                                        .replace(",", "\r\nSTAT ")
                                                + "\r\nEND",
                                        null));
                default ->
                        channel.writeAndFlush(
                                MetaCodec.encode(
                                        ctx.alloc(), "CLIENT_ERROR unknown command", null));
            }
        }

        void answer(Job job, String line, byte[] data) {
            if (jobs.peek() != job || !channel.isActive()) {
                return;
            }
            jobs.poll();
            String told =
                    line.startsWith("VA") || line.startsWith("HD") ? line + " L" + report() : line;
            channel.writeAndFlush(MetaCodec.encode(channel.alloc(), told, data));
            if (!jobs.isEmpty()) {
                accept(jobs.peek());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            held--;
            connections.remove(this);
            for (Job job : jobs) {
                job.gone = true;
                engine.remove(now(), job, spec.cancelStops());
            }
            jobs.clear();
            if (!down) {
                schedule();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
