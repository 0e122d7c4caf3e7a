package frostrelay.policy;

import frostrelay.policy.ServerHealth.TrackedServer;
import frostrelay.policy.hotkeys.HotKeys;

/** Weighted rendezvous hashing: the few hosts that a key lives on. */
final class RendezvousCandidates {
    /** Candidates of a key on the ordinary path. */
    private static final int DEFAULT_CANDIDATES = 2;

    /** Most candidates of a hot key, and further hosts kept for when all candidates are spent. */
    private static final int MAX_CANDIDATES = 32;

    private static final int SPARE_SERVERS = 2;

    /** Hosts of capacity given to a hot key, for each host's worth of traffic that it draws. */
    private static final double CAPACITY_FACTOR = 3;

    private static final double SLOWER_RATIO = 2;

    /**
     * Reads of a lowered host that go to it all the same, one in so many: so it is seen to be back.
     */
    private static final int OUTLIER_READ_INTERVAL = 8;

    private static final double HASH_TO_UNIT = 1.0 / (1L << 53);

    final TrackedServer[] ranked = new TrackedServer[MAX_CANDIDATES + SPARE_SERVERS];
    int rankedCount;

    /** How many of {@link #ranked} are candidates; the rest are spare. */
    int candidateCount;

    private final double[] distances = new double[MAX_CANDIDATES + SPARE_SERVERS];
    private final HotKeys hotKeys = new HotKeys();
    private final ServerHealth health;

    RendezvousCandidates(ServerHealth health) {
        this.health = health;
    }

    /**
     * Fills {@link #ranked} with the usable hosts of least -ln(1 - hash) / weight, near ones made
     * heavier.
     */
    void find(long now, long key, double localZoneBoost) {
        candidateCount = candidateCountFor(key);
        int maxRanked = candidateCount + SPARE_SERVERS;
        rankedCount = 0;
        double maxDistance = Double.MAX_VALUE;
        long[] salts = health.salts;
        double[] inverseWeights = health.inverseWeights;
        boolean[] inLocalZone = health.inLocalZone;
        for (int i = 0; i < health.cacheCount; i++) {
            long hash = mix(key ^ salts[i]);
            double uniform = (hash >>> 11) * HASH_TO_UNIT;
            double inverseWeight =
                    inLocalZone[i] ? inverseWeights[i] / localZoneBoost : inverseWeights[i];
            // x <= -ln(1 - x): most hosts fall out here, without a logarithm.
            if (uniform * inverseWeight >= maxDistance) {
                continue;
            }
            double weightedDistance = -Math.log1p(-uniform) * inverseWeight;
            TrackedServer server = health.caches[i];
            if (weightedDistance >= maxDistance || !health.admits(now, server, hash)) {
                continue;
            }
            int position = rankedCount < maxRanked ? rankedCount++ : maxRanked - 1;
            while (position > 0 && distances[position - 1] > weightedDistance) {
                distances[position] = distances[position - 1];
                ranked[position] = ranked[position - 1];
                position--;
            }
            distances[position] = weightedDistance;
            ranked[position] = server;
            if (rankedCount == maxRanked) {
                maxDistance = distances[maxRanked - 1];
            }
        }
    }

    /** Counts an arrival for the key. */
    void recordArrival(long now, long key) {
        hotKeys.recordArrival(now, key, mix(key));
    }

    /**
     * Guards against a hot key swamping two hosts: candidates grow with its share of our traffic.
     */
    private int candidateCountFor(long key) {
        double traffic = hotKeys.trafficFraction(key, mix(key));
        return (int)
                Math.max(
                        DEFAULT_CANDIDATES,
                        Math.min(
                                MAX_CANDIDATES,
                                Math.ceil(traffic * health.cacheCount * CAPACITY_FACTOR)));
    }

    /**
     * The candidate with the fewest of our requests in flight; among equals the nearest if not
     * slow. One that the fleet finds bad counts as the busiest, but for every eighth read that it
     * is a candidate of.
     */
    TrackedServer selectLeastLoaded() {
        // With many balancers most counts are 0 and tell nothing: then latency does.
        TrackedServer best = null;
        boolean isBestSkipped = false;
        for (int i = 0; i < rankedCount && i < candidateCount; i++) {
            TrackedServer server = ranked[i];
            boolean isSkipped =
                    server.isOutlier && ++server.skippedReads % OUTLIER_READ_INTERVAL != 0;
            if (best == null
                    || isBestSkipped && !isSkipped
                    || isSkipped == isBestSkipped
                            && (server.inFlight < best.inFlight
                                    || server.inFlight == best.inFlight
                                            && best.latencyNanos
                                                    > SLOWER_RATIO * server.latencyNanos)) {
                best = server;
                isBestSkipped = isSkipped;
            }
        }
        return best;
    }

    /** A 64-bit finaliser (SplitMix64): spreads every bit of the input over the output. */
    static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
