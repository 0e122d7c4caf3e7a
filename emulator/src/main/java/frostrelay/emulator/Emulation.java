package frostrelay.emulator;

import frostrelay.policy.Router;
import frostrelay.policy.api.DeduplicationScope;
import frostrelay.policy.api.LoadReportLayout;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.RequestClass;
import frostrelay.policy.api.Tenant;

import org.agrona.collections.Long2LongHashMap;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * A simulation run of one system model, from the first request until the last one has ended. The
 * same model gives the same results.
 */
public final class Emulation {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    static final long DRAIN_GRACE_NANOS = NANOS_PER_SECOND / 2;
    private static final long DEDUPLICATION_WINDOW_NANOS = 8 * NANOS_PER_SECOND;
    private static final long CONNECT_TIMEOUT_NANOS = NANOS_PER_SECOND / 4;

    /** Tenant quota as a multiple of the tenant's mean request rate. */
    private static final double TENANT_QUOTA_HEADROOM = 1.35;

    /**
     * The results of a run. {@code receivedRequests}: attempts received by balancers, including the
     * warm-up; {@code listEntriesSent}: endpoint list entries sent by discovery; {@code
     * wastedWorkFraction}: fraction of the caches' work whose attempt was already cancelled on
     * completion; {@code wallNanos}: wall-clock duration of the run.
     */
    public record Result(
            RunStatistics statistics,
            RunTimeSeries timeSeries,
            long receivedRequests,
            long executedEvents,
            long attemptsSent,
            long additionalAttempts,
            long hits,
            long misses,
            long originCalls,
            long originOverloads,
            long handshakes,
            long listEntriesSent,
            double wastedWorkFraction,
            Map<String, Long> violations,
            long wallNanos) {
        /** Returns the total number of invariant violations. */
        public long violationCount() {
            return violations.values().stream().mapToLong(Long::longValue).sum();
        }

        /** Returns the fraction of cache reads served from memory. */
        public double hitRatio() {
            return hits + misses == 0 ? 0 : hits / (double) (hits + misses);
        }

        /** Returns a count per client request, retries not counted. */
        public double perRequest(long count) {
            return count / (double) Math.max(1, statistics.asked());
        }

        /** Returns the attempts after the first, per client attempt. */
        public double additionalAttemptRatio() {
            return statistics.attemptCount() == 0
                    ? 0
                    : additionalAttempts / (double) statistics.attemptCount();
        }

        /**
         * Returns the seconds from the end of a trigger until the fraction served in time over five
         * seconds reaches 95% of that in the ten seconds before the trigger; -1 if it never does.
         */
        public int recoverySeconds(int triggerSecond, int triggerEndSecond) {
            double baseline = statistics.served(Math.max(0, triggerSecond - 10), triggerSecond);
            for (int second = triggerEndSecond; second + 5 <= statistics.seconds(); second++) {
                if (statistics.served(second, second + 5) >= 0.95 * baseline) {
                    return second - triggerEndSecond;
                }
            }
            return -1;
        }
    }

    private final SystemModel model;
    private final Timeline timeline = new Timeline();
    private final RunStatistics statistics;
    private final RunTimeSeries timeSeries;
    private final SimInvariantChecker invariantChecker = new SimInvariantChecker();
    private final SimOrigin origin;
    private final SimDiscovery discovery;
    private final List<SimCache> caches = new ArrayList<>();
    private final List<SimBalancer> balancers = new ArrayList<>();
    private final SimClients clients;
    private final SimFaults faults;

    private Emulation(SystemModel model, SimBalancer.RouterFactory routerFactory) {
        this.model = model;
        statistics =
                new RunStatistics(
                        model.warmupNanos(),
                        model.durationNanos(),
                        model.requestClasses().size(),
                        model.tenantShares().size());
        origin = new SimOrigin(model.origin(), timeline, model.seed());
        int cacheCount = model.cacheCount() + model.replacementCount();
        discovery =
                new SimDiscovery(
                        timeline,
                        model.discovery(),
                        model.zoneCount(),
                        model.cacheCount(),
                        cacheCount);
        NetworkDelays networkDelays =
                new NetworkDelays(model.network(), model.zoneCount(), model.seed());
        int[] versionByKey = new int[model.clients().keyCount()];
        Long2LongHashMap indexByServerId = new Long2LongHashMap(-1);
        int maxConnections =
                model.connections().isModelled()
                        ? model.connections().maxPerCache()
                        : Integer.MAX_VALUE;
        for (int i = 0; i < cacheCount; i++) {
            SimCache cache =
                    new SimCache(
                            model.cache(),
                            i,
                            maxConnections,
                            timeline,
                            origin,
                            versionByKey,
                            new SlowStartGuard(
                                    invariantChecker, model.cache(), model.meanWorkNanos()));
            caches.add(cache);
            indexByServerId.put(SimDiscovery.serverId(i), i);
            if (i >= model.cacheCount()) {
                cache.kill(0);
            } else if (model.cache().isPreloaded()) {
                for (int key = Math.min(model.cache().maxObjects(), versionByKey.length) - 1;
                        key >= 0;
                        key--) {
                    cache.preload(key);
                }
            }
        }
        // The cache that answers at each address; a replacement may take an address over.
        List<SimCache> cacheAtAddress = new ArrayList<>(caches);
        for (int i = 0; i < model.balancerCount(); i++) {
            balancers.add(
                    new SimBalancer(
                            model,
                            timeline,
                            networkDelays,
                            discovery,
                            cacheAtAddress,
                            indexByServerId,
                            routerFactory,
                            settings(model, i),
                            invariantChecker,
                            model.seed() * 31 + i));
        }
        clients =
                new SimClients(
                        model, timeline, networkDelays, balancers, statistics, invariantChecker);
        faults =
                new SimFaults(
                        model,
                        timeline,
                        networkDelays,
                        origin,
                        discovery,
                        caches,
                        cacheAtAddress,
                        balancers,
                        clients);
        timeSeries = new RunTimeSeries(statistics.seconds(), caches, balancers);
        timeSeries.addCounter("asked", statistics::asked);
        timeSeries.addCounter("tries", statistics::attemptCount);
        timeSeries.addCounter("inTime", statistics::inTime);
        timeSeries.addCounter("refused", statistics::rejected);
        timeSeries.addCounter("failed", statistics::failed);
        timeSeries.addCounter("hits", () -> sum(caches, SimCache::hits));
        timeSeries.addCounter("misses", () -> sum(caches, SimCache::misses));
        timeSeries.addCounter("copies", () -> sum(balancers, SimBalancer::additionalAttempts));
        timeSeries.addCounter("sends", () -> sum(balancers, SimBalancer::attemptsSent));
        timeSeries.addCounter("fetches", origin::calls);
        timeSeries.addCounter("handshakes", () -> sum(balancers, SimBalancer::handshakes));
        timeSeries.addCounter("listLines", discovery::entriesSent);
        timeSeries.addCounter("worked", () -> sum(caches, SimCache::worked));
        timeSeries.addCounter("wasted", () -> sum(caches, SimCache::wastedNanos));
    }

    private static <T> long sum(List<T> all, ToLongFunction<T> value) {
        return all.stream().mapToLong(value).sum();
    }

    /** Runs the model with the real decision module. */
    public static Result simulate(SystemModel model) {
        return simulate(model, Router::new);
    }

    /**
     * Runs the model with a policy that sends each request once, to measure the emulator's own
     * cost.
     */
    public static Result simulateSingleAttempt(SystemModel model) {
        return simulate(model, (settings, seed, actions) -> new SingleAttemptPolicy(actions));
    }

    /** Runs the model with another decision module, for comparison. */
    static Result simulate(SystemModel model, SimBalancer.RouterFactory routerFactory) {
        long wallStartNanos = System.nanoTime();
        return new Emulation(model, routerFactory).run(wallStartNanos);
    }

    private Result run(long wallStartNanos) {
        clients.start();
        origin.setInstantUntil(model.warmupNanos());
        timeline.runUntil(model.warmupNanos());
        timeSeries.start();
        faults.scheduleAll();
        long endNanos = model.warmupNanos() + model.durationNanos();
        for (int second = 0; second < statistics.seconds(); second++) {
            timeline.runUntil(
                    Math.min(endNanos, model.warmupNanos() + (second + 1) * NANOS_PER_SECOND));
            timeSeries.recordSecond(second, statistics, model.cache().cores());
        }
        long latestNanos =
                endNanos
                        + model.requestClasses().stream()
                                .mapToLong(SystemModel.RequestClass::deadlineNanos)
                                .max()
                                .orElse(0)
                        + NANOS_PER_SECOND;
        for (long at = endNanos;
                clients.openRequests() > 0 && at <= latestNanos;
                at += NANOS_PER_SECOND) {
            timeline.runUntil(at);
        }
        invariantChecker.recordViolation(
                SimInvariantChecker.Rule.UNANSWERED, clients.openRequests());
        return new Result(
                statistics,
                timeSeries,
                sum(balancers, SimBalancer::receivedRequests),
                timeline.executedEvents(),
                timeSeries.total("sends"),
                timeSeries.total("copies"),
                timeSeries.total("hits"),
                timeSeries.total("misses"),
                timeSeries.total("fetches"),
                origin.overloadCount(),
                timeSeries.total("handshakes"),
                timeSeries.total("listLines"),
                timeSeries.total("wasted") / (double) Math.max(1, timeSeries.total("worked")),
                invariantChecker.violations(),
                System.nanoTime() - wallStartNanos);
    }

    private static PolicySettings settings(SystemModel model, int instanceIndex) {
        List<RequestClass> classes = new ArrayList<>();
        for (SystemModel.RequestClass requestClass : model.requestClasses()) {
            classes.add(
                    new RequestClass(
                            requestClass.latencyObjectiveNanos(),
                            0,
                            requestClass.deadlineNanos(),
                            requestClass.priorityWeight(),
                            0.3,
                            requestClass.idempotency(),
                            DeduplicationScope.ALL,
                            DEDUPLICATION_WINDOW_NANOS,
                            false,
                            false));
        }
        double requestsPerSecond = model.clients().requestsPerSecond();
        List<Tenant> tenants =
                model.tenantShares().stream()
                        .map(
                                share ->
                                        new Tenant(
                                                TENANT_QUOTA_HEADROOM * share * requestsPerSecond,
                                                share))
                        .toList();
        return new PolicySettings(
                classes,
                tenants,
                instanceIndex % model.zoneCount(),
                instanceIndex,
                model.balancerCount(),
                false,
                -1,
                true,
                model.balancer().maxAttempts(),
                model.balancer().hedgingEnabled(),
                true,
                CONNECT_TIMEOUT_NANOS,
                true,
                NANOS_PER_SECOND,
                DRAIN_GRACE_NANOS,
                5 * NANOS_PER_SECOND,
                model.cache().slowStartInitialFraction(),
                Math.max(1, model.cache().slowStartNanos()),
                SlowStartGuard.OVERLOAD_MULTIPLE,
                SlowStartGuard.WINDOW_NANOS,
                1,
                NANOS_PER_SECOND,
                null,
                new LoadReportLayout(-1, -1, -1));
    }
}
