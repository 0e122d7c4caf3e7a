package frostrelay.testbed.fleet;

import frostrelay.testbed.client.OpenLoopClients;
import frostrelay.testbed.client.RoundRobinFrontend;
import frostrelay.testbed.discovery.Member;
import frostrelay.testbed.scenario.ClassSpec;
import frostrelay.testbed.scenario.FaultKind;
import frostrelay.testbed.scenario.FaultSpec;
import frostrelay.testbed.scenario.Targets;
import frostrelay.testbed.wire.Loopback;

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
 * Injects faults and operators' calls into a cluster, from the timeline of a scenario or on
 * request. The target "any" is drawn with the scenario's seed, in the order of the calls. Blocking
 * calls run on a separate thread.
 */
public final class FaultInjector implements AutoCloseable {
    /** Faults that delay commands between a balancer and a cache. */
    private static final Set<FaultKind> DELAYING_FAULTS =
            EnumSet.of(
                    FaultKind.SILENCE,
                    FaultKind.LINK_DELAY,
                    FaultKind.LINK_STALL,
                    FaultKind.LINK_NARROW);

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final long STOP_TIMEOUT_MILLIS = 4_000;
    private static final long RESTART_DELAY_MILLIS = 300;

    /**
     * The shortest time from SIGTERM to SIGKILL is the longest deadline, limited to 3 s, plus this
     * delay.
     */
    private static final long KILL_DELAY_NANOS = 700_000_000L;

    private static final long MAX_DEADLINE_NANOS = 3_000_000_000L;

    /**
     * No signal is sent to a balancer within this time after its start: until its signal handlers
     * are installed, any signal would terminate it.
     */
    private static final long SETTLING_TIME_NANOS = 3_000_000_000L;

    private final TestCluster fleet;
    private final RoundRobinFrontend frontend;
    private final OpenLoopClients clients;
    private final Consumer<String> eventListener;
    private final UniformRandomProvider random;
    private final Map<Integer, Long> unsettledUntilNanos = new HashMap<>();
    private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread fresh = new Thread(task, "faults");
                        fresh.setDaemon(true);
                        return fresh;
                    });

    /**
     * Creates an injector. {@code frontend} and {@code clients}: null if the cluster has no
     * clients; {@code eventListener}: receives a description of each event.
     */
    public FaultInjector(
            TestCluster fleet,
            RoundRobinFrontend frontend,
            OpenLoopClients clients,
            Consumer<String> eventListener) {
        this.fleet = fleet;
        this.frontend = frontend;
        this.clients = clients;
        this.eventListener = eventListener;
        this.random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(fleet.scenario().seed() ^ 0x5DEECE66DL);
    }

    /** Schedules the scenario's timeline, which starts now. */
    public void scheduleTimeline() {
        for (FaultSpec fault : fleet.scenario().faults()) {
            executor.schedule(() -> apply(fault), fault.startNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Injects a fault now, on the injector's thread. Throws IllegalArgumentException if no target
     * matches.
     */
    public void inject(FaultSpec fault) {
        if (fault.kind().targetKind != FaultKind.TargetKind.NONE
                && Targets.count(fault.target(), targetPrefix(fault), targetCount(fault)) == 0) {
            throw new IllegalArgumentException(
                    "no such target: "
                            + fault.target()
                            + "; there are "
                            + targetPrefix(fault)
                            + "-1 to "
                            + targetPrefix(fault)
                            + "-"
                            + targetCount(fault)
                            + ", any, and any-1 to any-"
                            + targetCount(fault));
        }
        if (clients == null && fault.kind() == FaultKind.SURGE) {
            throw new IllegalArgumentException(
                    "a surge requires a load, but this cluster runs without clients");
        }
        executor.execute(() -> apply(fault));
    }

    private static String targetPrefix(FaultSpec fault) {
        return fault.kind().targetKind == FaultKind.TargetKind.CACHE ? "cache" : "balancer";
    }

    private int targetCount(FaultSpec fault) {
        return fault.kind().targetKind == FaultKind.TargetKind.CACHE
                ? fleet.caches().size()
                : fleet.balancers().size();
    }

    private void apply(FaultSpec fault) {
        String name = targetPrefix(fault);
        List<Integer> targets =
                fault.kind().targetKind == FaultKind.TargetKind.NONE
                        ? List.of(0)
                        : Targets.choose(fault.target(), name, targetCount(fault), random);
        List<String> names = new ArrayList<>();
        targets.forEach(index -> names.add(name + '-' + (index + 1)));
        eventListener.accept(
                (fault.kind().targetKind == FaultKind.TargetKind.NONE
                                ? ""
                                : String.join(" ", names) + ": ")
                        + new FaultSpec(
                                        0,
                                        fault.kind(),
                                        "",
                                        fault.factor(),
                                        fault.amountNanos(),
                                        fault.durationNanos())
                                .describe());
        try {
            for (int index : targets) {
                setFault(fault, index, true);
            }
            if (fault.durationNanos() > 0) {
                executor.schedule(
                        () -> {
                            eventListener.accept(
                                    String.join(" ", names)
                                            + ": "
                                            + fault.kind().wireName
                                            + " is over");
                            for (int index : targets) {
                                undoFault(fault, index);
                            }
                        },
                        fault.durationNanos(),
                        TimeUnit.NANOSECONDS);
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            eventListener.accept(fault.kind().wireName + " failed: " + e);
        }
    }

    private void undoFault(FaultSpec fault, int index) {
        try {
            setFault(fault, index, false);
        } catch (IOException | InterruptedException | RuntimeException e) {
            eventListener.accept("the end of " + fault.kind().wireName + " failed: " + e);
        }
    }

    private void setFault(FaultSpec fault, int index, boolean isActive)
            throws IOException, InterruptedException {
        if (DELAYING_FAULTS.contains(fault.kind())) {
            fleet.invariantChecker()
                    .setDelayed(
                            System.nanoTime(), fleet.caches().get(index).server().name(), isActive);
        }
        switch (fault.kind()) {
            case KILL, RESTART, SLOW, SILENCE, DRAIN, HOLD -> setCacheFault(fault, index, isActive);
            case LINK_DELAY ->
                    fleet.caches()
                            .get(index)
                            .proxies()
                            .forEach(link -> link.setDelay(isActive ? fault.amountNanos() : 0));
            case LINK_STALL ->
                    fleet.caches().get(index).proxies().forEach(link -> link.setStalled(isActive));
            case LINK_CUT ->
                    fleet.caches().get(index).proxies().forEach(link -> link.setCut(isActive));
            case LINK_NARROW ->
                    fleet.caches()
                            .get(index)
                            .proxies()
                            .forEach(
                                    link ->
                                            link.setBandwidth(
                                                    isActive
                                                            ? (long) (fault.factor() * 1_000)
                                                            : 0));
            case ARCHIVE_SLOW -> fleet.origin().setSlowdown(isActive ? fault.factor() : 1);
            case ARCHIVE_OUTAGE -> {
                if (isActive) {
                    fleet.origin().startOutage(fault.durationNanos());
                }
            }
            case DISCOVERY_OUTAGE -> fleet.discovery().setOutage(isActive);
            case DISCOVERY_LATE ->
                    fleet.discovery()
                            .setDelay(
                                    isActive
                                            ? fault.amountNanos()
                                            : fleet.scenario().discoveryDelayNanos());
            case WATCH_SILENT -> {
                if (isActive) {
                    fleet.discovery().stallWatches(fault.amountNanos());
                }
            }
            case BALANCER_KILL, BALANCER_RESTART, BALANCER_STOP, BALANCER_PAUSE, RELOAD ->
                    setBalancerFault(fault, index, isActive);
            default -> {
                if (clients != null) {
                    clients.setLoadFactor(isActive ? fault.factor() : 1);
                }
            }
        }
    }

    private void setCacheFault(FaultSpec fault, int index, boolean isActive)
            throws IOException, InterruptedException {
        TestCluster.CacheInstance cache = fleet.caches().get(index);
        String name = cache.server().name();
        switch (fault.kind()) {
            case KILL -> {
                if (isActive) {
                    cache.server().kill();
                    fleet.discovery().change(new Member(name, Member.State.GONE, 0));
                } else {
                    restartCache(cache);
                }
            }
            case RESTART -> {
                if (isActive) {
                    restartCache(cache);
                }
            }
            case SLOW -> cache.server().setSlowdown(isActive ? Math.max(1, fault.factor()) : 1);
            case SILENCE -> cache.server().setUnresponsive(isActive);
            case DRAIN -> {
                // Only discovery announces the drain: a cache that rejects work before balancers
                // can learn of the drain would be a different fault.
                fleet.discovery()
                        .change(
                                new Member(
                                        name,
                                        isActive ? Member.State.TERMINATING : Member.State.READY,
                                        0));
            }
            default -> {
                for (TestCluster.BalancerInstance balancer : fleet.balancers()) {
                    setAdminDrain(balancer, name, isActive);
                }
            }
        }
    }

    private void restartCache(TestCluster.CacheInstance cache) {
        // Discovery announces the cache only after it has started.
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

    private void setAdminDrain(
            TestCluster.BalancerInstance balancer, String cache, boolean isActive)
            throws IOException, InterruptedException {
        HttpResponse<String> response =
                http.send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + Loopback.text(balancer.adminAddress())
                                                        + "/ops/template-caches/"
                                                        + (isActive ? "down" : "up")))
                                .timeout(CALL_TIMEOUT)
                                .header("Content-Type", "application/json")
                                .POST(
                                        HttpRequest.BodyPublishers.ofString(
                                                "{\"id\":\"" + cache + "\"}"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() / 100 != 2) {
            throw new IOException(
                    balancer.name()
                            + " answered an administrative drain call with HTTP status "
                            + response.statusCode());
        }
        fleet.invariantChecker().onNotified(System.nanoTime(), balancer.name(), cache, !isActive);
    }

    private void setBalancerFault(FaultSpec fault, int index, boolean isActive)
            throws IOException, InterruptedException {
        TestCluster.BalancerInstance balancer = fleet.balancers().get(index);
        if (balancer.process() == null) {
            throw new IOException(balancer.name() + " was started by hand");
        }
        if (isActive
                && unsettledUntilNanos.getOrDefault(index, Long.MIN_VALUE) > System.nanoTime()) {
            eventListener.accept(balancer.name() + " is still ending or starting: passed over");
            return;
        }
        switch (fault.kind()) {
            case RELOAD -> {
                if (isActive) {
                    balancer.process().signalReload();
                }
            }
            case BALANCER_STOP -> {
                if (isActive) {
                    stopBalancer(index);
                }
            }
            case BALANCER_PAUSE -> {
                if (isActive) {
                    balancer.process().signal("STOP");
                    executor.schedule(
                            () -> resume(balancer), fault.amountNanos(), TimeUnit.NANOSECONDS);
                }
            }
            case BALANCER_KILL -> {
                unsettledUntilNanos.put(
                        index, System.nanoTime() + fault.durationNanos() + SETTLING_TIME_NANOS);
                if (isActive) {
                    onStopped(index);
                    balancer.process().kill();
                }
                if (!isActive || fault.durationNanos() == 0) {
                    Thread.sleep(RESTART_DELAY_MILLIS);
                    balancer.process().start();
                }
            }
            default -> {
                if (isActive) {
                    balancer.process().terminate(STOP_TIMEOUT_MILLIS);
                    onStopped(index);
                    balancer.process().start();
                }
            }
        }
    }

    private void resume(TestCluster.BalancerInstance balancer) {
        try {
            balancer.process().signal("CONT");
        } catch (IOException e) {
            eventListener.accept(balancer.name() + " could not be resumed: " + e);
        }
    }

    /**
     * Sends SIGTERM now and SIGKILL at the end of the shutdown period, then starts the balancer
     * again; does not block.
     */
    private void stopBalancer(int index) {
        TestCluster.BalancerInstance balancer = fleet.balancers().get(index);
        long longestDeadlineNanos =
                fleet.scenario().classes().stream()
                        .mapToLong(ClassSpec::deadlineNanos)
                        .max()
                        .orElse(0);
        long graceNanos = Math.min(longestDeadlineNanos, MAX_DEADLINE_NANOS) + KILL_DELAY_NANOS;
        long terminatedAtNanos = System.nanoTime();
        unsettledUntilNanos.put(index, terminatedAtNanos + graceNanos + SETTLING_TIME_NANOS);
        if (frontend != null) {
            frontend.onTerminated(index, terminatedAtNanos);
        }
        balancer.process().requestShutdown();
        executor.schedule(
                () -> killAndStart(index),
                terminatedAtNanos + graceNanos - System.nanoTime(),
                TimeUnit.NANOSECONDS);
    }

    private void killAndStart(int index) {
        TestCluster.BalancerInstance balancer = fleet.balancers().get(index);
        if (frontend != null) {
            frontend.onKilled(index, System.nanoTime());
        }
        balancer.process().kill();
        executor.schedule(
                () -> {
                    try {
                        fleet.invariantChecker().forgetBalancer(balancer.name());
                        balancer.process().start();
                        fleet.invariantChecker()
                                .onBalancerStarted(System.nanoTime(), balancer.name());
                        if (frontend != null) {
                            frontend.onStarted(index);
                        }
                    } catch (IOException e) {
                        eventListener.accept(balancer.name() + " could not be started: " + e);
                    }
                },
                RESTART_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void onStopped(int index) {
        fleet.invariantChecker().forgetBalancer(fleet.balancers().get(index).name());
        if (frontend != null) {
            frontend.onStopped(index);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
