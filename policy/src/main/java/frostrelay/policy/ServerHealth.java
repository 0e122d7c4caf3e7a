package frostrelay.policy;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Server;
import frostrelay.policy.api.SlowStartStatus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state of all servers: the endpoint list, administrative drains, attempts in flight, and the
 * failures and latencies that this balancer has observed. {@link CircuitBreaker} and {@link
 * SlowStart} decide whether a server is eligible for a key.
 */
final class ServerHealth {
    /**
     * Fraction of attempts that fail to connect above which idle connections are closed. Dead
     * servers alone cause a smaller fraction.
     */
    static final double MAX_CONNECT_FAILURE_RATE = 0.1;

    /** Weight of an attempt in the moving averages of failures. */
    private static final double FAILURE_SMOOTHING = 0.02;

    /** Weight of an attempt in the moving average of a server's latency. */
    private static final double LATENCY_SMOOTHING = 0.1;

    /** Lower bound of the fleet's failure rate, which limits the evidence of a single failure. */
    private static final double MIN_FAILURE_RATE = 0.2;

    private static final double MAX_BALANCERS_PER_SERVER = 8;

    /** The usable servers other than origins; the first {@link #cacheCount} are set. */
    TrackedServer[] caches = {};

    int cacheCount;

    /**
     * Fields of {@link #caches} in arrays of their own. {@link RendezvousCandidates} scans them for
     * each request, so that of thousands of servers it accesses only a few objects.
     */
    long[] salts = {};

    double[] inverseWeights = {};
    boolean[] inLocalZone = {};

    /** The usable origins; empty unless in look-aside mode. */
    final List<TrackedServer> origins = new ArrayList<>();

    /**
     * Balancers per server, at least 1. Used for keys that are hot over many balancers, none of
     * which receives enough of their requests to detect it.
     */
    double balancersPerServer = 1;

    /** Disables circuit breakers; set when a search is repeated after finding no server. */
    boolean ignoresBreakers;

    /** Moving average of the fraction of attempts that failed to connect. */
    double connectFailureRate;

    /** Moving average of the fraction of attempts that failed, over all servers. */
    private double failureRate;

    private final Map<Long, TrackedServer> serversById = new LinkedHashMap<>();

    /** Servers under administrative drain, listed or not, and when it began. */
    private final Map<Long, Long> drainedSinceNanos = new HashMap<>();

    private PolicySettings settings;
    private final SeededRandom random;
    private final SlowStart slowStart;

    ServerHealth(PolicySettings settings, SeededRandom random) {
        this.settings = settings;
        this.random = random;
        this.slowStart = new SlowStart(settings);
    }

    /** Applies an endpoint list. Draining and removed servers get no new attempts. */
    void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers) {
        if (mode == EndpointUpdateMode.FAILED) {
            return;
        }
        if (mode != EndpointUpdateMode.DELTA) {
            for (TrackedServer tracked : serversById.values()) {
                tracked.state = EndpointState.REMOVED;
            }
        }
        for (Server server : servers) {
            update(now, serversById.computeIfAbsent(server.id(), TrackedServer::new), server);
        }
        rebuildIndex();
    }

    private void update(long now, TrackedServer tracked, Server server) {
        boolean hasRestarted = server.startedAtNanos() > tracked.startedAtNanos;
        tracked.zone = server.zone();
        tracked.isInLocalZone = tracked.zone == settings.zone();
        tracked.kind = server.kind();
        tracked.cell = server.cell();
        tracked.weight = server.weight() > 0 ? server.weight() : 1;
        tracked.inverseWeight = 1 / tracked.weight;
        tracked.state = server.state();
        tracked.startedAtNanos = server.startedAtNanos();
        if (hasRestarted && now - tracked.startedAtNanos < settings.slowStartNanos()) {
            tracked.warmingSinceNanos = tracked.startedAtNanos;
            resetObservations(now, tracked);
        }
    }

    private void resetObservations(long now, TrackedServer server) {
        slowStart.resetTokens(now, server, random);
        server.breaker.close();
    }

    /**
     * Sets the drained servers; their state in the endpoint list is ignored until the drain ends.
     */
    void onAdminDrains(long now, Set<Long> drainedServers) {
        for (TrackedServer server : serversById.values()) {
            Long sinceNanos = drainedSinceNanos.get(server.id);
            if (sinceNanos != null && !drainedServers.contains(server.id)) {
                endAdminDrain(now, server, sinceNanos);
            }
        }
        drainedSinceNanos.keySet().retainAll(drainedServers);
        drainedServers.forEach(id -> drainedSinceNanos.putIfAbsent(id, now));
        rebuildIndex();
    }

    /**
     * Ends a server's drain. Operators restart servers that they drain, and the endpoint list
     * reports restarts late: a server without a reported start during the drain counts as started
     * now, so that a cold server does not get full load. The cost is an unnecessary slow start of a
     * server that was not restarted.
     */
    private void endAdminDrain(long now, TrackedServer server, long sinceNanos) {
        if (server.startedAtNanos < sinceNanos) {
            server.warmingSinceNanos = now;
        }
        resetObservations(now, server);
    }

    /** Sets the servers that peers report as outliers. */
    void onPeerHealthReports(Set<Long> outliers) {
        for (TrackedServer server : serversById.values()) {
            // The first read after a report still goes to the server, as the report may not hold
            // for this balancer.
            server.skippedReads = server.isOutlier ? server.skippedReads : -1;
            server.isOutlier = outliers.contains(server.id);
        }
    }

    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
        slowStart.onSettings(newSettings);
        for (TrackedServer server : serversById.values()) {
            server.isInLocalZone = server.zone == newSettings.zone();
        }
        rebuildIndex();
    }

    private void rebuildIndex() {
        serversById
                .values()
                .removeIf(server -> server.state == EndpointState.REMOVED && server.inFlight == 0);
        caches = new TrackedServer[serversById.size()];
        salts = new long[serversById.size()];
        inverseWeights = new double[serversById.size()];
        inLocalZone = new boolean[serversById.size()];
        cacheCount = 0;
        double totalWeight = 0;
        origins.clear();
        for (TrackedServer server : serversById.values()) {
            if (!isUsable(server)) {
                continue;
            }
            if (isOrigin(server)) {
                origins.add(server);
            } else {
                addCache(server);
                totalWeight += server.weight;
            }
        }
        slowStart.setFleet(cacheCount, totalWeight);
        double perServer = (double) settings.instanceCount() / Math.max(1, cacheCount);
        balancersPerServer = Math.max(1, Math.min(MAX_BALANCERS_PER_SERVER, perServer));
    }

    private boolean isUsable(TrackedServer server) {
        return server.state == EndpointState.READY && !drainedSinceNanos.containsKey(server.id);
    }

    private void addCache(TrackedServer server) {
        salts[cacheCount] = server.salt;
        inverseWeights[cacheCount] = server.inverseWeight;
        inLocalZone[cacheCount] = server.isInLocalZone;
        caches[cacheCount++] = server;
    }

    boolean isOrigin(TrackedServer server) {
        return settings.lookAside() && server.kind == settings.originKind();
    }

    /** Returns the usable origin with the fewest attempts in flight, or null. */
    TrackedServer leastLoadedOrigin() {
        TrackedServer best = null;
        for (TrackedServer server : origins) {
            if (best == null || server.inFlight < best.inFlight) {
                best = server;
            }
        }
        return best;
    }

    /**
     * Returns whether the server currently accepts a request of this cost for the key with this
     * hash.
     */
    boolean admits(long now, TrackedServer server, long hash, double cost) {
        if (!ignoresBreakers && server.breaker.isBlocking(now)) {
            return false;
        }
        return slowStart.admits(now, server, hash, cost, ignoresBreakers);
    }

    /** Counts a request whose first attempt needs a cache. */
    void recordFirstSend(long now) {
        slowStart.recordFirstSend(now);
    }

    /** Returns what the servers in slow start get from this balancer. */
    List<SlowStartStatus> slowStartStatus(long now) {
        List<SlowStartStatus> statuses = new ArrayList<>();
        for (int i = 0; i < cacheCount; i++) {
            SlowStartStatus status = slowStart.status(now, caches[i]);
            if (status != null) {
                statuses.add(status);
            }
        }
        return statuses;
    }

    /**
     * Counts an attempt.
     *
     * @param cost the request's work, in units of a typical request's
     */
    void onAttemptStarted(long now, TrackedServer server, double cost) {
        server.inFlight++;
        slowStart.onAttemptStarted(now, server, cost);
        server.breaker.onAttemptStarted();
    }

    /**
     * Records the end of an attempt.
     *
     * @param suspect whether it counts as failed regardless of its result, because a hedged request
     *     was answered first or an idle server rejected it. Otherwise an unresponsive server would
     *     be tried with every read, as hedged requests answer its reads before they time out.
     */
    void onAttemptCompleted(
            long now,
            TrackedServer server,
            AttemptResult result,
            long durationNanos,
            boolean suspect) {
        server.inFlight--;
        recordConnect(result);
        recordLatency(server, result, durationNanos);
        if (isOrigin(server)) {
            return;
        }
        if (result.answered()) {
            slowStart.recordAnswer(now, server);
        }
        recordResult(now, server, result, suspect);
        server.breaker.onAttemptCompleted();
    }

    private void recordConnect(AttemptResult result) {
        int failed = result == AttemptResult.CONNECT_FAILED ? 1 : 0;
        connectFailureRate += FAILURE_SMOOTHING * (failed - connectFailureRate);
    }

    private static void recordLatency(
            TrackedServer server, AttemptResult result, long durationNanos) {
        if (result.answered() || result == AttemptResult.TIMEOUT) {
            server.latencyNanos +=
                    (server.latencyNanos == 0 ? 1 : LATENCY_SMOOTHING)
                            * (durationNanos - server.latencyNanos);
        }
    }

    private void recordResult(
            long now, TrackedServer server, AttemptResult result, boolean suspect) {
        boolean failed =
                suspect
                        || result == AttemptResult.ERROR
                        || result == AttemptResult.RESET
                        || result == AttemptResult.TIMEOUT;
        if (result.answered() || failed) {
            failureRate += FAILURE_SMOOTHING * ((failed ? 1 : 0) - failureRate);
        }
        if (result.answered() || result == AttemptResult.REJECTED && !suspect) {
            server.breaker.close();
        } else if (result == AttemptResult.CONNECT_FAILED) {
            server.breaker.recordFailure(now, CircuitBreaker.OPEN_EVIDENCE / 2, random);
        } else if (failed) {
            // Failures that most servers share are weak evidence against a single one: keys must
            // not move when all servers fail for the same cause.
            double evidence = -Math.log(Math.max(MIN_FAILURE_RATE, failureRate));
            server.breaker.recordFailure(now, evidence, random);
        }
    }
}
