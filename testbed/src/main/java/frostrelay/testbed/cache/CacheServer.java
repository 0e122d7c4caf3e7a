package frostrelay.testbed.cache;

import frostrelay.testbed.invariants.InvariantChecker;
import frostrelay.testbed.invariants.SlowStartMeter;
import frostrelay.testbed.origin.OriginClient;
import frostrelay.testbed.wire.Loopback;
import frostrelay.testbed.wire.MetaCodec;
import frostrelay.testbed.wire.MetaMessage;

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
 * A simulated cache server on loopback: memcache meta commands, read-through from the origin,
 * bounded memory, slots and queue, slow start and injected faults. It listens on a separate port
 * for each balancer to identify the sender of a command. Runs on one event loop; public methods may
 * be called from any thread.
 */
public final class CacheServer {
    private static final String FAILED_RESPONSE = "SERVER_ERROR failed";
    private static final double SLOW_START_TICK_NANOS = 20e6;

    /**
     * The largest relative difference between a command's actual work and its hint; derived from
     * the request id.
     */
    private static final double HINT_ERROR = 0.15;

    private static final long NANOS_PER_MICROSECOND = 1_000L;
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long DEFAULT_WORK_MICROS = 1_000;
    private static final long START_DELAY_MILLIS = 50;

    /** A received command that has not been answered. */
    private final class Job {
        final Connection connection;
        final MetaMessage command;
        final String id;
        boolean isClientGone;

        Job(Connection connection, MetaMessage command) {
            this.connection = connection;
            this.command = command;
            this.id = command.flag('O') == null ? "" : command.flag('O');
        }

        boolean isWrite() {
            return command.token(0).equals("ms");
        }

        String key() {
            return command.token(1);
        }
    }

    private final String name;
    private final CacheSpec spec;
    private final EventLoop loop;
    private final OriginClient origin;
    private final DeduplicationWindow deduplicationWindow;
    private final InvariantChecker invariantChecker;
    private final List<CacheServer> allCaches;
    private final Map<String, InetSocketAddress> listenAddresses = new HashMap<>();
    private final List<Channel> serverChannels = new ArrayList<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<String, List<Job>> pendingFetches = new HashMap<>();
    private final LongAdder hits = new LongAdder();
    private final LongAdder misses = new LongAdder();
    private Store store;
    private WorkEngine<Job> engine;
    private SlowStartMeter meter;
    private long startedAtNanos;
    private boolean isWarmingUp;
    private double slowdownFactor = 1;
    private boolean isUnresponsive;
    private boolean isFailingWrites;
    private boolean isDown;
    private Future<?> tick;
    private long tickAtNanos = Long.MAX_VALUE;
    private int connectionCount;

    /**
     * Creates a cache. {@code allCaches}: all caches including this one, in which a write
     * invalidates the key; read at each write.
     */
    public CacheServer(
            String name,
            CacheSpec spec,
            EventLoop loop,
            OriginClient origin,
            DeduplicationWindow deduplicationWindow,
            InvariantChecker invariantChecker,
            List<CacheServer> allCaches) {
        this.name = name;
        this.spec = spec;
        this.loop = loop;
        this.origin = origin;
        this.deduplicationWindow = deduplicationWindow;
        this.invariantChecker = invariantChecker;
        this.allCaches = allCaches;
        reset(false);
    }

    /** Starts listening for a balancer and returns the address. */
    public InetSocketAddress listen(String balancer) throws InterruptedException {
        Channel server = bootstrap(balancer).bind(Loopback.port(0)).sync().channel();
        InetSocketAddress address = (InetSocketAddress) server.localAddress();
        loop.submit(
                        () -> {
                            listenAddresses.put(balancer, address);
                            serverChannels.add(server);
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

    private void reset(boolean isColdStart) {
        store = new Store(spec.memoryBytes());
        engine = new WorkEngine<>(spec.cores(), spec.slots(), spec.queueCapacity());
        startedAtNanos = now();
        isWarmingUp = isColdStart;
        meter =
                isColdStart
                        ? new SlowStartMeter(spec.slowStart(), spec.cores(), startedAtNanos)
                        : null;
        engine.setSpeed(startedAtNanos, speed(startedAtNanos));
    }

    private double speed(long now) {
        return (isWarmingUp ? spec.slowStart().capacityFraction(now - startedAtNanos) : 1)
                / slowdownFactor;
    }

    // Fault injection.

    /** Simulates a process crash: resets connections and refuses new ones. */
    public void kill() {
        loop.execute(this::shutDown);
    }

    private void shutDown() {
        if (isDown) {
            return;
        }
        isDown = true;
        serverChannels.forEach(Channel::close);
        serverChannels.clear();
        for (Connection connection : List.copyOf(connections)) {
            connection.channel.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.channel.close();
        }
        engine.clear(now());
        pendingFetches.clear();
    }

    /**
     * Simulates a restart with empty memory and slow start at the same addresses; kills the process
     * first if it is running. {@code started}: called after the start, on the cache's event loop.
     */
    public void restart(Runnable started) {
        loop.execute(
                () -> {
                    shutDown();
                    loop.schedule(
                            () -> restartEmpty(started), START_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    private void restartEmpty(Runnable started) {
        reset(true);
        invariantChecker.onCacheStarted(startedAtNanos, name);
        isUnresponsive = false;
        isDown = false;
        started.run();
        listenAddresses.forEach(this::rebind);
    }

    /**
     * Binds the address again and retries until the port is free, because another socket may have
     * taken it in the meantime.
     */
    private void rebind(String balancer, InetSocketAddress address) {
        long start = startedAtNanos;
        bootstrap(balancer)
                .bind(address)
                .addListener(
                        (ChannelFuture bound) -> {
                            if (bound.isSuccess()) {
                                serverChannels.add(bound.channel());
                            } else {
                                loop.schedule(
                                        () -> {
                                            if (!isDown && startedAtNanos == start) {
                                                rebind(balancer, address);
                                            }
                                        },
                                        START_DELAY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        });
    }

    /** Simulates CPU contention: multiplies the duration of work by {@code factor}, at least 1. */
    public void setSlowdown(double factor) {
        loop.execute(
                () -> {
                    slowdownFactor = factor;
                    engine.setSpeed(now(), speed(now()));
                    scheduleTick();
                });
    }

    /** Makes the cache stop reading and answering while its connections stay open, or ends that. */
    public void setUnresponsive(boolean isActive) {
        loop.execute(
                () -> {
                    isUnresponsive = isActive;
                    connections.forEach(
                            connection -> connection.channel.config().setAutoRead(!isActive));
                    scheduleTick();
                });
    }

    /** Makes all writes fail before they are executed, or ends that. */
    public void setFailingWrites(boolean isActive) {
        loop.execute(() -> isFailingWrites = isActive);
    }

    /** Removes a key from memory. */
    public void invalidate(String key) {
        loop.execute(() -> store.remove(key));
    }

    /** Returns the name of the cache in the endpoint list. */
    public String name() {
        return name;
    }

    /** Returns the number of reads served from memory. */
    public long hits() {
        return hits.sum();
    }

    /** Returns the number of reads not found in memory. */
    public long misses() {
        return misses.sum();
    }

    // Work.

    private void accept(Job job) {
        long now = now();
        double work = workNanos(job);
        if (!job.id.isEmpty()) {
            invariantChecker.onCommandReceived(now, name, job.connection.balancer, job.id, work);
            String timeoutMillis = job.command.figure("d");
            if (timeoutMillis != null) {
                invariantChecker.onNotified(
                        now,
                        name,
                        job.connection.balancer,
                        job.id,
                        now + Long.parseLong(timeoutMillis) * NANOS_PER_MILLISECOND);
            }
            invariantChecker.observer().onCommand(now, name, job.connection.balancer, job.id);
        }
        if (meter != null && meter.addWork(now, work)) {
            // Overload during slow start crashes the cache, which stays down until it is restarted.
            shutDown();
            return;
        }
        if (engine.submit(now, job, work) == WorkEngine.Admission.REJECTED) {
            job.connection.respond(job, "SERVER_ERROR busy", null);
        }
        scheduleTick();
    }

    private double workNanos(Job job) {
        String hint = job.command.figure("h");
        double micros = hint == null ? DEFAULT_WORK_MICROS : Double.parseDouble(hint);
        // Depends on the id only, so that the same plan causes the same work with every balancer.
        double spread = Math.floorMod(job.id.hashCode() * 0x9E3779B9L, 2_001L) / 1_000.0 - 1;
        return micros * NANOS_PER_MICROSECOND * (1 + HINT_ERROR * spread);
    }

    private void scheduleTick() {
        long next =
                isWarmingUp && engine.running() > 0
                        ? Math.min(
                                engine.nextCompletionNanos(), now() + (long) SLOW_START_TICK_NANOS)
                        : engine.nextCompletionNanos();
        if (isUnresponsive || isDown || next == Long.MAX_VALUE) {
            return;
        }
        if (tick != null && !tick.isDone() && tickAtNanos <= next && tickAtNanos >= now()) {
            return;
        }
        if (tick != null) {
            tick.cancel(false);
        }
        tickAtNanos = next;
        tick = loop.schedule(this::onTick, Math.max(0, next - now()), TimeUnit.NANOSECONDS);
    }

    private void onTick() {
        tick = null;
        if (isUnresponsive || isDown) {
            return;
        }
        long now = now();
        if (isWarmingUp) {
            engine.setSpeed(now, speed(now));
            isWarmingUp = now - startedAtNanos < spec.slowStart().rampNanos();
        }
        for (Job job : engine.pollFinished(now)) {
            if (!job.isClientGone || !spec.cancelStops()) {
                onWorkDone(job);
            }
        }
        scheduleTick();
    }

    /** Continues a job after its CPU work, from memory or with a call to the origin. */
    private void onWorkDone(Job job) {
        if (job.isWrite()) {
            write(job);
            return;
        }
        byte[] cached = store.get(job.key());
        if (cached != null) {
            hits.increment();
            serve(job, cached, "h1");
            return;
        }
        misses.increment();
        List<Job> waitingJobs = pendingFetches.get(job.key());
        if (waitingJobs != null && spec.coalesce()) {
            waitingJobs.add(job);
            return;
        }
        List<Job> fetchJobs = new ArrayList<>(List.of(job));
        pendingFetches.put(job.key(), fetchJobs);
        Store targetStore = store;
        origin.fetch(
                job.key(),
                spec.fetchTimeoutNanos(),
                value -> loop.execute(() -> onFetched(job.key(), fetchJobs, targetStore, value)));
    }

    private void onFetched(String key, List<Job> waiting, Store targetStore, byte[] value) {
        pendingFetches.remove(key, waiting);
        if (targetStore != store) {
            return;
        }
        if (value != null) {
            store.put(key, value);
        }
        for (Job job : waiting) {
            if (value == null) {
                job.connection.respond(job, FAILED_RESPONSE, null);
            } else {
                serve(job, value, "h0");
            }
        }
    }

    /**
     * Sends a value that contains the request id, so that a response to a different request is
     * detected.
     */
    private void serve(Job job, byte[] value, String flag) {
        byte[] head = (job.id + '|').getBytes(StandardCharsets.ISO_8859_1);
        byte[] payload = new byte[head.length + value.length];
        System.arraycopy(head, 0, payload, 0, head.length);
        System.arraycopy(value, 0, payload, head.length, value.length);
        invariantChecker.onProduced(job.id, InvariantChecker.digest(payload));
        job.connection.respond(job, "VA " + payload.length + " O" + job.id + ' ' + flag, payload);
    }

    private void write(Job job) {
        if (isFailingWrites) {
            job.connection.respond(job, FAILED_RESPONSE, null);
            return;
        }
        String key = job.command.figure("k");
        String receipt = deduplicationWindow.nextReceipt();
        String firstReceipt =
                key == null ? null : deduplicationWindow.findOrRecord(now(), key, receipt);
        if (firstReceipt != null) {
            sendReceipt(job, firstReceipt);
            return;
        }
        // From this point the write may be executed, even if the origin reports a failure.
        invariantChecker.onExecuted(now(), job.id, key);
        origin.write(
                job.key(),
                job.command.data(),
                spec.fetchTimeoutNanos(),
                done ->
                        loop.execute(
                                () -> {
                                    allCaches.forEach(cache -> cache.invalidate(job.key()));
                                    if (done) {
                                        sendReceipt(job, receipt);
                                    } else {
                                        job.connection.respond(job, FAILED_RESPONSE, null);
                                    }
                                }));
    }

    private void sendReceipt(Job job, String receipt) {
        invariantChecker.onProduced(
                job.id, InvariantChecker.digest(receipt.getBytes(StandardCharsets.ISO_8859_1)));
        job.connection.respond(job, "HD O" + job.id + " c" + receipt, null);
    }

    private String loadReport() {
        return String.format(
                Locale.ROOT,
                "inflight=%d,queue=%d,util=%.2f",
                engine.running(),
                engine.waiting(),
                Math.min(1.0, engine.running() / (double) spec.cores()));
    }

    /** A connection from a balancer; processes its commands sequentially. */
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
            if (isDown || ++connectionCount > spec.maxConnections()) {
                ctx.close();
                return;
            }
            connections.add(this);
            channel.config().setAutoRead(!isUnresponsive);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaMessage message) {
            switch (message.token(0)) {
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
                                                + loadReport()
                                                        .replace("=", " ")
                                                        .replace(",", "\r\nSTAT ")
                                                + "\r\nEND",
                                        null));
                default ->
                        channel.writeAndFlush(
                                MetaCodec.encode(
                                        ctx.alloc(), "CLIENT_ERROR unknown command", null));
            }
        }

        void respond(Job job, String line, byte[] data) {
            if (jobs.peek() != job || !channel.isActive()) {
                return;
            }
            jobs.poll();
            String responseLine =
                    line.startsWith("VA") || line.startsWith("HD")
                            ? line + " L" + loadReport()
                            : line;
            channel.writeAndFlush(MetaCodec.encode(channel.alloc(), responseLine, data));
            if (!jobs.isEmpty()) {
                accept(jobs.peek());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connectionCount--;
            connections.remove(this);
            for (Job job : jobs) {
                job.isClientGone = true;
                engine.remove(now(), job, spec.cancelStops());
            }
            jobs.clear();
            if (!isDown) {
                scheduleTick();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
