package frostrelay.policy;

import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.PolicySettings;

/** Selects the server of an attempt: a candidate of its key, or the origin. */
final class ServerSelector {
    /** Fraction of the latency objective below which the origin's latency counts as fast. */
    private static final double FAST_FRACTION = 0.5;

    private PolicySettings settings;
    private final ServerHealth health;
    private final RendezvousCandidates candidates;
    private final OriginFetchLimiter originFetches;
    private final SeededRandom random;

    ServerSelector(
            PolicySettings settings,
            ServerHealth health,
            OriginFetchLimiter originFetches,
            SeededRandom random) {
        this.settings = settings;
        this.health = health;
        this.candidates = new RendezvousCandidates(health);
        this.originFetches = originFetches;
        this.random = random;
    }

    void onSettings(PolicySettings newSettings) {
        settings = newSettings;
    }

    /** Counts an arrival for the key; frequent keys get more candidates. */
    void recordArrival(long now, long key) {
        candidates.recordArrival(now, key);
    }

    /** Returns the server of a request's first attempt, or null if there is none. */
    TrackedServer selectFirst(long now, RequestState state) {
        TrackedServer server = null;
        if (!settings.lookAside() || !state.request.write()) {
            health.recordFirstSend(now);
            findCandidates(now, state);
            server = candidates.selectLeastLoaded();
        }
        return orOrigin(server);
    }

    /** Returns a candidate that the request has not tried yet, or null. */
    TrackedServer selectForHedge(long now, RequestState state) {
        findCandidates(now, state);
        return firstUntried(state, candidates.candidateCount);
    }

    /** Returns the server for a retry after an attempt with this result, or null. */
    TrackedServer selectForRetry(long now, RequestState state, AttemptResult result) {
        if (settings.lookAside() && mustRetryAtOrigin(state, result)) {
            boolean isAdmitted =
                    state.request.write() || originFetches.admits(false, random.nextUniform());
            return isAdmitted ? health.leastLoadedOrigin() : null;
        }
        findCandidates(now, state);
        return orOrigin(firstUntried(state, candidates.rankedCount));
    }

    private boolean mustRetryAtOrigin(RequestState state, AttemptResult result) {
        // Otherwise a hot key's reads would circulate among its full servers while the origin has
        // capacity.
        boolean isFull = result == AttemptResult.REJECTED && isOriginFast(state);
        return state.needsOrigin || state.request.write() || isFull;
    }

    private TrackedServer orOrigin(TrackedServer server) {
        return server == null && settings.lookAside() ? health.leastLoadedOrigin() : server;
    }

    /** Returns whether the least loaded origin is fast compared to the latency objective. */
    boolean isOriginFast(RequestState state) {
        TrackedServer origin = settings.lookAside() ? health.leastLoadedOrigin() : null;
        return origin != null
                && origin.latencyNanos < state.requestClass.latencyObjectiveNanos() * FAST_FRACTION;
    }

    private void findCandidates(long now, RequestState state) {
        // Requests without a key are spread over all servers.
        long key =
                state.request.key() != 0
                        ? state.request.key()
                        : SeededRandom.mix(state.request.id());
        health.ignoresBreakers = false;
        double localZoneBoost = isOriginFast(state) ? health.balancersPerServer : 1;
        candidates.find(now, key, state.cost, localZoneBoost);
        if (candidates.rankedCount == 0) {
            health.ignoresBreakers = true;
            candidates.find(now, key, state.cost, localZoneBoost);
        }
        state.isTooHeavy =
                candidates.rankedCount == 0 && state.cost > WorkEstimate.MAX_ORDINARY_COST;
    }

    private TrackedServer firstUntried(RequestState state, int limit) {
        for (int i = 0; i < candidates.rankedCount && i < limit; i++) {
            TrackedServer server = candidates.ranked[i];
            if (!state.hasTried(server)) {
                return server;
            }
        }
        return null;
    }
}
