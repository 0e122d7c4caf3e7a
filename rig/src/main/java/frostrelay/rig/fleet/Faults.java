package frostrelay.rig.fleet;

import frostrelay.rig.client.Front;
import frostrelay.rig.client.OpenLoop;
import frostrelay.rig.day.ClassSpec;
import frostrelay.rig.day.FaultKind;
import frostrelay.rig.day.FaultSpec;
import frostrelay.rig.day.Targets;
import frostrelay.rig.discovery.Member;
import frostrelay.rig.wire.Loopback;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Plays faults and operators' calls on a fleet: from a day's timeline, or by hand. What "any" means
 * is drawn from the day's seed, in the order of the calls. Calls that wait run on a thread of its
 * own.
 */
public final class Faults implements AutoCloseable {
    /** Under these, commands reach a cache later than they were sent. */
    private static final Set<FaultKind> DELAYING =
            EnumSet.of(
                    FaultKind.SILENCE,
                    FaultKind.LINK_DELAY,
                    FaultKind.LINK_STALL,
                    FaultKind.LINK_NARROW);

    private static final Duration CALL = Duration.ofSeconds(2);
    private static final long STOP_MS = 4_000;
    private static final long RESTART_MS = 300;

    /** SIGKILL may follow SIGTERM after the longest deadline, counted as 3 s at most, and this. */
    private static final long KILL_AFTER = 700_000_000L;

    private static final long MOST_DEADLINE = 3_000_000_000L;

    /**
     * No signal goes to a balancer sooner after its start: before its handlers are there, any of
     * them would end it.
     */
    private static final long SETTLED = 3_000_000_000L;

    private final Fleet fleet;
    private final Front front;
    private final OpenLoop load;
    private final Consumer<String> told;
    private final UniformRandomProvider random;
    private final Map<Integer, Long> unsettledUntil = new HashMap<>();
    private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL).build();
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread fresh = new Thread(task, "faults");
                        fresh.setDaemon(true);
                        return fresh;
                    });

    /**
     * {@code front} and {@code load}: of the clients, or null where there are none; {@code told}:
     * hears what happens.
     */
    public Faults(Fleet fleet, Front front, OpenLoop load, Consumer<String> told) {
        this.fleet = fleet;
        this.front = front;
        this.load = load;
        this.told = told;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(fleet.day().seed() ^ 0x5DEECE66DL);
    }

    /** Plays the day's timeline from now on. */
    public void play() {
        for (FaultSpec fault : fleet.day().faults()) {
            thread.schedule(() -> apply(fault), fault.at(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Plays a fault now, on the thread of faults. Throws IllegalArgumentException if it would meet
     * nobody.
     */
    public void call(FaultSpec fault) {
        if (fault.kind().meets != FaultKind.Meets.NOBODY
                && Targets.count(fault.target(), name(fault), most(fault)) == 0) {
            throw new IllegalArgumentException(
                    "no such target: "
                            + fault.target()
                            + "; there are "
                            + name(fault)
                            + "-1 to "
                            + name(fault)
                            + "-"
                            + most(fault)
                            + ", any, and any-1 to any-"
                            + most(fault));
        }
        if (load == null && fault.kind() == FaultKind.SURGE) {
            throw new IllegalArgumentException(
                    "a surge needs the load of a day; this fleet has none");
        }
        thread.execute(() -> apply(fault));
    }

    private static String name(FaultSpec fault) {
        return fault.kind().meets == FaultKind.Meets.CACHE ? "cache" : "balancer";
    }

    private int most(FaultSpec fault) {
        return fault.kind().meets == FaultKind.Meets.CACHE
                ? fleet.caches().size()
                : fleet.balancers().size();
    }

    private void apply(FaultSpec fault) {
        String name = name(fault);
        List<Integer> met =
                fault.kind().meets == FaultKind.Meets.NOBODY
                        ? List.of(0)
                        : Targets.choose(fault.target(), name, most(fault), random);
        List<String> names = new ArrayList<>();
        met.forEach(place -> names.add(name + '-' + (place + 1)));
        told.accept(
                (fault.kind().meets == FaultKind.Meets.NOBODY ? "" : String.join(" ", names) + ": ")
                        + new FaultSpec(
                                        0,
                                        fault.kind(),
                                        "",
                                        fault.factor(),
                                        fault.amount(),
                                        fault.length())
                                .text());
        try {
            for (int place : met) {
                set(fault, place, true);
            }
            if (fault.length() > 0) {
                thread.schedule(
                        () -> {
                            told.accept(
                                    String.join(" ", names)
                                            + ": "
                                            + fault.kind().word
                                            + " is over");
                            for (int place : met) {
                                undo(fault, place);
                            }
                        },
                        fault.length(),
                        TimeUnit.NANOSECONDS);
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            told.accept(fault.kind().word + " failed: " + e);
        }
    }

    private void undo(FaultSpec fault, int place) {
        try {
            set(fault, place, false);
        } catch (IOException | InterruptedException | RuntimeException e) {
            told.accept("the end of " + fault.kind().word + " failed: " + e);
        }
    }

    private void set(FaultSpec fault, int place, boolean on)
            throws IOException, InterruptedException {
        if (DELAYING.contains(fault.kind())) {
            fleet.referee()
                    .delayed(System.nanoTime(), fleet.caches().get(place).server().name(), on);
        }
        switch (fault.kind()) {
            case KILL, RESTART, SLOW, SILENCE, DRAIN, HOLD -> cache(fault, place, on);
            case LINK_DELAY ->
                    fleet.caches()
                            .get(place)
                            .links()
                            .forEach(link -> link.delay(on ? fault.amount() : 0));
            case LINK_STALL -> fleet.caches().get(place).links().forEach(link -> link.stall(on));
            case LINK_CUT -> fleet.caches().get(place).links().forEach(link -> link.cut(on));
            case LINK_NARROW ->
                    fleet.caches()
                            .get(place)
                            .links()
                            .forEach(
                                    link ->
                                            link.bandwidth(
                                                    on ? (long) (fault.factor() * 1_000) : 0));
            case ARCHIVE_SLOW -> fleet.archive().slow(on ? fault.factor() : 1);
            case ARCHIVE_OUTAGE -> {
                if (on) {
                    fleet.archive().outage(fault.length());
                }
            }
            case DISCOVERY_OUTAGE -> fleet.discovery().outage(on);
            case DISCOVERY_LATE ->
                    fleet.discovery().late(on ? fault.amount() : fleet.day().lateness());
            case WATCH_SILENT -> {
                if (on) {
                    fleet.discovery().silenceWatches(fault.amount());
                }
            }
            case BALANCER_KILL, BALANCER_RESTART, BALANCER_STOP, BALANCER_PAUSE, RELOAD ->
                    balancer(fault, place, on);
            default -> {
                if (load != null) {
                    load.surge(on ? fault.factor() : 1);
                }
            }
        }
    }

    private void cache(FaultSpec fault, int place, boolean on)
            throws IOException, InterruptedException {
        Fleet.Cache cache = fleet.caches().get(place);
        String name = cache.server().name();
        switch (fault.kind()) {
            case KILL -> {
                if (on) {
                    cache.server().kill();
                    fleet.discovery().change(new Member(name, Member.State.GONE, 0));
                } else {
                    start(cache);
                }
            }
            case RESTART -> {
                if (on) {
                    start(cache);
                }
            }
            case SLOW -> cache.server().slow(on ? Math.max(1, fault.factor()) : 1);
            case SILENCE -> cache.server().silence(on);
            case DRAIN -> {
                // Told first: a cache that turns work away before anyone can know is another fault.
                fleet.discovery()
                        .change(
                                new Member(
                                        name,
                                        on ? Member.State.TERMINATING : Member.State.READY,
                                        0));
            }
            default -> {
                for (Fleet.Place balancer : fleet.balancers()) {
                    hold(balancer, name, on);
                }
            }
        }
    }

    private void start(Fleet.Cache cache) {
        // Nobody can be told of a start that has not been.
        cache.server()
                .restart(
                        () ->
                                fleet.discovery()
                                        .change(
                                                new Member(
                                                        cache.server().name(),
                                                        Member.State.READY,
                                                        System.currentTimeMillis())));
    }

    private void hold(Fleet.Place balancer, String cache, boolean on)
            throws IOException, InterruptedException {
        HttpResponse<String> answer =
                http.send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + Loopback.text(balancer.console())
                                                        + "/ops/template-caches/"
                                                        + (on ? "down" : "up")))
                                .timeout(CALL)
                                .header("Content-Type", "application/json")
                                .POST(
                                        HttpRequest.BodyPublishers.ofString(
                                                "{\"id\":\"" + cache + "\"}"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() / 100 != 2) {
            throw new IOException(balancer.name() + " says " + answer.statusCode());
        }
        fleet.referee().told(System.nanoTime(), balancer.name(), cache, !on);
    }

    private void balancer(FaultSpec fault, int place, boolean on)
            throws IOException, InterruptedException {
        Fleet.Place balancer = fleet.balancers().get(place);
        if (balancer.process() == null) {
            throw new IOException(balancer.name() + " was started by hand");
        }
        if (on && unsettledUntil.getOrDefault(place, Long.MIN_VALUE) > System.nanoTime()) {
            told.accept(balancer.name() + " is still ending or starting: passed over");
            return;
        }
        switch (fault.kind()) {
            case RELOAD -> {
                if (on) {
                    balancer.process().hangUp();
                }
            }
            case BALANCER_STOP -> {
                if (on) {
                    stop(place);
                }
            }
            case BALANCER_PAUSE -> {
                if (on) {
                    balancer.process().signal("STOP");
                    thread.schedule(() -> resume(balancer), fault.amount(), TimeUnit.NANOSECONDS);
                }
            }
            case BALANCER_KILL -> {
                unsettledUntil.put(place, System.nanoTime() + fault.length() + SETTLED);
                if (on) {
                    stopped(place);
                    balancer.process().kill();
                }
                if (!on || fault.length() == 0) {
                    Thread.sleep(RESTART_MS);
                    balancer.process().start();
                }
            }
            default -> {
                if (on) {
                    balancer.process().terminate(STOP_MS);
                    stopped(place);
                    balancer.process().start();
                }
            }
        }
    }

    private void resume(Fleet.Place balancer) {
        try {
            balancer.process().signal("CONT");
        } catch (IOException e) {
            told.accept(balancer.name() + " could not be resumed: " + e);
        }
    }

    /**
     * SIGTERM now, SIGKILL as soon as the terms allow, and then a new start; none of them is waited
     * for.
     */
    private void stop(int place) {
        Fleet.Place balancer = fleet.balancers().get(place);
        long longest =
                fleet.day().classes().stream().mapToLong(ClassSpec::deadline).max().orElse(0);
        long grace = Math.min(longest, MOST_DEADLINE) + KILL_AFTER;
        long terminatedAt = System.nanoTime();
        unsettledUntil.put(place, terminatedAt + grace + SETTLED);
        if (front != null) {
            front.terminated(place, terminatedAt);
        }
        balancer.process().askToEnd();
        thread.schedule(
                () -> killAndStart(place),
                terminatedAt + grace - System.nanoTime(),
                TimeUnit.NANOSECONDS);
    }

    private void killAndStart(int place) {
        Fleet.Place balancer = fleet.balancers().get(place);
        if (front != null) {
            front.killed(place, System.nanoTime());
        }
        balancer.process().kill();
        thread.schedule(
                () -> {
                    try {
                        fleet.referee().forgets(balancer.name());
                        balancer.process().start();
                        fleet.referee().starts(System.nanoTime(), balancer.name());
                        if (front != null) {
                            front.started(place);
                        }
                    } catch (IOException e) {
                        told.accept(balancer.name() + " could not be started: " + e);
                    }
                },
                RESTART_MS,
                TimeUnit.MILLISECONDS);
    }

    private void stopped(int place) {
        fleet.referee().forgets(fleet.balancers().get(place).name());
        if (front != null) {
            front.stopped(place);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
