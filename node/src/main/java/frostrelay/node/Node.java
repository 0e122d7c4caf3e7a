package frostrelay.node;

import frostrelay.console.ConsoleServer;
import frostrelay.console.Operations;
import frostrelay.lifecycle.ActionGuard;
import frostrelay.lifecycle.DrainSchedule;
import frostrelay.lifecycle.SharedFolder;
import frostrelay.lifecycle.Usage;
import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.peers.Stamp;
import frostrelay.policy.Api;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One balancer, put together: everything it has lives on one event loop, but for the looks at its
 * shared folder.
 */
final class Node implements Operations {
    private static final long LOOK_MS = 10;

    /** A shutdown tells how far it is so often, and names so many open requests. */
    private static final long PROGRESS_NS = 500 * Clock.MILLISECOND;

    private static final int MOST_NAMED = 10;
    private static final long SWEEP_MS = 250;

    /** An operator's call must be whole within this time. */
    private static final long CALL_MS = 2_000;

    /**
     * Descriptors kept for the JVM itself (11 when idle), discovery, the console, the listening
     * sockets and accepts.
     */
    private static final int RESERVE = 48;

    private static final int RESERVE_PART = 4;

    /**
     * Clients hold a third of the descriptors at most for requests. At just that many, each
     * connection that has closed and was not seen to yet costs a good one its place, so there are
     * some more for these, for those that only say nothing, and for those that are kept just to be
     * refused.
     */
    private static final int REQUESTS_PART = 3;

    private static final int FURTHER_PART = 8;
    private static final int SURPLUS_PART = 16;
    private static final int MOST_SURPLUS = 16;

    /** Bytes of values that may be held together; the heap has room for a few times that. */
    private static final long MOST_HELD = 8L * 1024 * 1024;

    private enum Phase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPING
    }

    private Config config;
    private final EventLoop loop;
    private final SharedFolder folder;
    private final Counters counters = new Counters();
    private final Budget budget = new Budget(MOST_HELD);
    private final ActionGuard guard = new ActionGuard();
    private final Balancer balancer;
    private final ClientServer server;
    private final Fleet fleet;

    /** Reads the configuration's file again, elsewhere than on this loop. */
    private Runnable reread = () -> {};

    /** It drains because it lags behind. */
    private boolean aside;

    private Phase phase = Phase.STARTING;

    /** Further processes of this balancer: descriptors are shared with them. */
    private int others;

    /** What this process had in use lately; read by the folder's thread. */
    private volatile Usage usage = new Usage(0, 0);

    /** Descriptors for clients and for hosts, over all processes. */
    private final int clients;

    private final int links;

    /** What operators hold out of use. */
    private Set<String> holds;

    /** What operators decided in place of the program. */
    private Set<String> overrides;

    private int sweeps;
    private int sweepsPerPrint;

    /**
     * The longest deadline of a request, under the settings of this life that have the shortest
     * such: a kill may go by either.
     */
    private long longestDeadline;

    /** When the shutdown began, and how far into it its progress was told last. */
    private long stopAt;

    private long progressTold;

    /** To be called on the loop, as all of this class. {@code shared}: what the folder showed. */
    Node(
            Config config,
            EventLoop loop,
            Balancer.Module module,
            SharedFolder folder,
            SharedFolder.Look shared,
            Options options,
            Seams seams) {
        this.config = config;
        longestDeadline = config.site().longestDeadline();
        countEvery(options.counts());
        this.fleet =
                Fleet.of(
                        config,
                        options.fleet(),
                        seams,
                        loop,
                        counters,
                        new Fleet.Lead() {
                            @Override
                            public void refresh() {
                                balancer.refresh();
                            }

                            @Override
                            public void reread() {
                                reread.run();
                            }

                            @Override
                            public void avoid(Set<Long> caches, Set<Long> held) {
                                balancer.onAvoid(caches, held);
                            }

                            @Override
                            public void aside(boolean on) {
                                stepAside(on);
                            }

                            @Override
                            public void lower(Set<Long> caches) {
                                balancer.onLower(caches);
                            }

                            @Override
                            public byte[] settings() {
                                return SettingsPack.pack(Node.this.config.json());
                            }

                            @Override
                            public boolean take(long digest, byte[] packed) {
                                return takeSettings(digest, packed);
                            }
                        });
        this.loop = loop;
        this.folder = folder;
        int all = config.sockets();
        int surplus = Math.min(MOST_SURPLUS, all / SURPLUS_PART);
        others = shared.others();
        holds = shared.holds();
        overrides = shared.overrides();
        clients = Math.max(1, all / REQUESTS_PART + all / FURTHER_PART);
        links = Math.max(1, all - reserve() - clients - surplus);
        balancer =
                new Balancer(
                        config,
                        loop,
                        counters,
                        module,
                        (site, listener) ->
                                new HostPool(site, loop, counters, mostLinks(shared), listener),
                        budget,
                        guard,
                        shared,
                        fleet.witness(),
                        seams.wall());
        if (options.fleet().stragglers()) {
            balancer.catchUpFirst();
        }
        server =
                new ClientServer(
                        balancer, loop, counters, budget, guard, mostClients(shared), surplus);
    }

    private int reserve() {
        return Math.min(RESERVE, config.sockets() / RESERVE_PART);
    }

    /** What the other processes have in use is theirs, but for a part that is always ours. */
    private int mostClients(SharedFolder.Look look) {
        return Math.max(clients / (1 + look.others()), clients - look.usage().clients());
    }

    /** Likewise; each further process has a reserve of its own. */
    private int mostLinks(SharedFolder.Look look) {
        int all = Math.max(1 + look.others(), links - look.others() * reserve());
        return Math.max(all / (1 + look.others()), all - look.usage().hosts());
    }

    /**
     * Begins to listen, to operators first: from then on it is ready to serve. Done with the
     * clients' channel.
     */
    Future<ChannelFuture> start() {
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        Promise<ChannelFuture> started = loop.newPromise();
        if (config.console() == null) {
            open(started);
        } else {
            new ConsoleServer(loop, this, CALL_MS)
                    .listen(config.console())
                    .addListener(
                            bound -> {
                                if (bound.isSuccess()) {
                                    open(started);
                                } else {
                                    started.setFailure(bound.cause());
                                }
                            });
        }
        return started;
    }

    private void open(Promise<ChannelFuture> started) {
        balancer.heard().addListener(heard -> listen(started));
    }

    private void listen(Promise<ChannelFuture> started) {
        if (guard.isShuttingDown()) {
            // Asked to end before it served at all: the process ends, and nobody waits for this.
            return;
        }
        ChannelFuture clients = server.listen(config.listen());
        clients.addListener(
                bound -> {
                    if (bound.isSuccess() && !guard.isShuttingDown()) {
                        phase = Phase.SERVING;
                        fleet.serve();
                        fleet.overrides(overrides);
                        folder.serve(() -> usage, look -> loop.execute(() -> share(look)));
                        started.setSuccess(clients);
                    } else if (!bound.isSuccess()) {
                        started.setFailure(bound.cause());
                    }
                });
    }

    private void share(SharedFolder.Look look) {
        keep(look.holds());
        if (!look.overrides().equals(overrides)) {
            overrides = look.overrides();
            Log.write(Event.OVERRIDES, overrides);
            fleet.overrides(overrides);
        }
        int count = look.others();
        if (count != others) {
            Log.write(count > others ? Event.SIBLING_SERVES : Event.SIBLING_ENDED, count);
            // The younger speaks for both: it is the one that goes on.
            fleet.speak(count < others);
            others = count;
            balancer.onOthers(others);
        }
        usage = new Usage(server.clients(), balancer.links());
        // Descriptors are counted over all processes of this balancer.
        server.limit(mostClients(look));
        balancer.limit(mostLinks(look));
    }

    /** What operators hold, as kept for all processes of this balancer. */
    private void keep(Set<String> held) {
        if (!held.equals(holds)) {
            Log.write(Event.HOLDS, held);
            holds = held;
            balancer.onHolds(held);
        }
    }

    private void sweep() {
        balancer.sweep();
        fleet.tick();
        server.sweep();
        if (++sweeps % sweepsPerPrint == 0) {
            print();
        }
    }

    private void print() {
        counters.print(gauges());
    }

    Map<String, Object> gauges() {
        Map<String, Object> gauges = new LinkedHashMap<>();
        gauges.put("clients", server.clients());
        gauges.put("held", budget.held());
        balancer.gauges(gauges);
        return gauges;
    }

    /** A list of hosts from elsewhere than discovery. */
    void onList(Api.ListMode mode, List<Catalog.Member> members) {
        balancer.onList(mode, 0, members);
    }

    /** From now on counts are printed every so many nanoseconds. */
    final void countEvery(long counts) {
        sweepsPerPrint = (int) Math.max(1, counts / (SWEEP_MS * Clock.MILLISECOND));
    }

    String name() {
        return config.name();
    }

    /**
     * The configuration was replaced by this; one that cannot be used changes nothing, and false is
     * returned.
     */
    boolean reload(Map<?, ?> json) {
        try {
            config = config.succeed(json);
            longestDeadline = Math.min(longestDeadline, config.site().longestDeadline());
            balancer.reload(config);
            Log.write(
                    Event.SETTINGS_TAKEN,
                    config.site().names(),
                    config.site().settings.maxAttempts());
            return true;
        } catch (ConfigException e) {
            Log.write(Event.SETTINGS_REFUSED, e.getMessage());
            fleet.witness().onRefusedConfig(e.getMessage());
            fleet.refused(Json.get(json, "version", Number.class, Stamp.NO_NUMBER).longValue());
            return false;
        }
    }

    /** Another balancer's settings in place of these, until a file says otherwise. */
    private boolean takeSettings(long digest, byte[] packed) {
        Map<?, ?> fresh;
        try {
            fresh = SettingsPack.replace(config.json(), packed, digest);
        } catch (ConfigException e) {
            counters.noise("settings handed over: " + e.getMessage());
            return false;
        }
        Log.write(Event.SETTINGS_HANDED_OVER, fresh.get("version"));
        return reload(fresh);
    }

    /** What is to be done where others act on a later configuration; must not wait. */
    void onReread(Runnable action) {
        reread = action;
    }

    @Override
    public Future<Boolean> override(String word, boolean on) {
        if (!fleet.minds()) {
            return loop.newSucceededFuture(false);
        }
        Promise<Boolean> done = loop.newPromise();
        folder.override(
                word,
                on,
                (decided, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        fleet.overrides(decided);
                                        done.setSuccess(true);
                                    } else {
                                        done.setFailure(failure);
                                    }
                                }));
        return done;
    }

    /** A replaced configuration that is none at all. */
    void refuse(String reason) {
        fleet.witness().onRefusedConfig(reason);
    }

    @Override
    public byte[] audit() {
        return fleet.statement();
    }

    @Override
    public byte[] auditRecord() {
        return fleet.record();
    }

    /** As a drain does, but an operators' drain is theirs to end. */
    private void stepAside(boolean on) {
        if (on && phase == Phase.SERVING) {
            aside = true;
            startDrain();
        } else if (!on && aside) {
            stopDrain();
        }
    }

    @Override
    public boolean ready() {
        return phase == Phase.SERVING;
    }

    @Override
    public void startDrain() {
        if (phase == Phase.SERVING) {
            Log.write(Event.DRAIN_BEGINS);
            phase = Phase.DRAINING;
            guard.follow(DrainSchedule.forDrain(Clock.now()));
        }
    }

    @Override
    public void stopDrain() {
        aside = false;
        if (phase == Phase.DRAINING) {
            Log.write(Event.DRAIN_ENDS);
            phase = Phase.SERVING;
            guard.follow(null);
        }
    }

    @Override
    public Future<Boolean> hold(String id, boolean out) {
        if (!balancer.knows(id) && !holds.contains(id)) {
            return loop.newSucceededFuture(false);
        }
        Promise<Boolean> done = loop.newPromise();
        // The yes comes once it is kept: a new process that starts right behind it must find it.
        folder.hold(
                id,
                out,
                (held, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        keep(held);
                                        done.setSuccess(true);
                                    } else {
                                        done.setFailure(failure);
                                    }
                                }));
        return done;
    }

    /**
     * Stops in order; the future is done when every request has been answered and every client is
     * gone. {@code replaced}: another process of this balancer listens, so that new clients need
     * not be waited for; {@code signalledAt}: when it was asked for, from which on the time until a
     * kill runs.
     */
    Future<Void> stop(boolean replaced, long signalledAt) {
        stopAt = signalledAt;
        DrainSchedule schedule = DrainSchedule.forShutdown(signalledAt, longestDeadline);
        Log.write(
                Event.STOPS,
                replaced,
                (schedule.acceptUntil() - signalledAt) / Clock.MILLISECOND,
                (schedule.answerUntil() - signalledAt) / Clock.MILLISECOND);
        phase = Phase.STOPPING;
        guard.follow(schedule);
        balancer.answerAllBy(schedule.answerUntil());
        fleet.leave(replaced);
        Promise<Void> done = loop.newPromise();
        // What has already been accepted by the system is read first: it would be reset with the
        // socket.
        long listenOn =
                replaced ? LOOK_MS * Clock.MILLISECOND : schedule.acceptUntil() - Clock.now();
        loop.schedule(
                () -> {
                    server.stopListening();
                    await(done, schedule.exitAt());
                },
                Math.max(0, listenOn),
                TimeUnit.NANOSECONDS);
        return done;
    }

    private void await(Promise<Void> done, long end) {
        // By the end every request is answered: only a client that does not read can still be
        // there.
        if (server.clients() == 0 && balancer.open() == 0 || Clock.now() >= end) {
            if (balancer.open() > 0) {
                counters.violated(
                        Violation.UNANSWERED,
                        "at the end of the process: " + balancer.openRequests(MOST_NAMED));
            }
            print();
            fleet.close();
            done.setSuccess(null);
        } else {
            tellProgress();
            loop.schedule(() -> await(done, end), LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void tellProgress() {
        long elapsed = Clock.now() - stopAt;
        if (elapsed >= progressTold + PROGRESS_NS) {
            progressTold = elapsed;
            Log.write(
                    Event.SHUTDOWN_PROGRESS,
                    elapsed / Clock.MILLISECOND,
                    server.clients(),
                    balancer.open(),
                    balancer.openRequests(MOST_NAMED));
        }
    }
}
