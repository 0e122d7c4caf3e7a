package frostrelay.policy;

import frostrelay.policy.hotkeys.HotKeys;

/**
 * Weighted rendezvous hashing, which finds the few servers that hold a key. {@link #ranked} has the
 * result of the last search until the next one.
 */
final class RendezvousCandidates {
    /** Candidates of a key that is not hot. */
    private static final int DEFAULT_CANDIDATES = 2;

    /** Upper limit for a hot key's candidates, and servers for retries after all were tried. */
    private static final int MAX_CANDIDATES = 32;

    private static final int SPARE_SERVERS = 2;

    /** Candidates of a hot key for each multiple of a server's mean traffic that it receives. */
    private static final double CAPACITY_FACTOR = 3;

    /** Latency ratio above which a server counts as slower than another one. */
    private static final double SLOWER_RATIO = 2;

    /** One in this many reads is still sent to an outlier, so that its recovery is detected. */
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
     * Fills {@link #ranked} with the servers of least -ln(1 - hash) / weight that admit the key.
     *
     * @param cost the request's work, in units of a typical request's
     * @param localZoneBoost factor on the weight of servers in the balancer's zone
     */
    void find(long now, long key, double cost, double localZoneBoost) {
        candidateCount = candidateCountFor(key);
        int maxRanked = candidateCount + SPARE_SERVERS;
        rankedCount = 0;
        double maxDistance = Double.MAX_VALUE;
        long[] salts = health.salts;
        double[] inverseWeights = health.inverseWeights;
        boolean[] inLocalZone = health.inLocalZone;
        for (int i = 0; i < health.cacheCount; i++) {
            long hash = SeededRandom.mix(key ^ salts[i]);
            double uniform = (hash >>> 11) * HASH_TO_UNIT;
            double inverseWeight =
                    inLocalZone[i] ? inverseWeights[i] / localZoneBoost : inverseWeights[i];
            // As x <= -ln(1 - x), this excludes most servers without computing a logarithm.
            if (uniform * inverseWeight >= maxDistance) {
                continue;
            }
            double weightedDistance = -Math.log1p(-uniform) * inverseWeight;
            TrackedServer server = health.caches[i];
            if (weightedDistance >= maxDistance || !health.admits(now, server, hash, cost)) {
                continue;
            }
            insert(server, weightedDistance, maxRanked);
            if (rankedCount == maxRanked) {
                maxDistance = distances[maxRanked - 1];
            }
        }
    }

    /** Inserts a server by its distance; the farthest one drops out if all places are taken. */
    private void insert(TrackedServer server, double distance, int maxRanked) {
        int position = rankedCount < maxRanked ? rankedCount++ : maxRanked - 1;
        while (position > 0 && distances[position - 1] > distance) {
            distances[position] = distances[position - 1];
            ranked[position] = ranked[position - 1];
            position--;
        }
        distances[position] = distance;
        ranked[position] = server;
    }

    /** Counts an arrival for the key. */
    void recordArrival(long now, long key) {
        hotKeys.recordArrival(now, key, SeededRandom.mix(key));
    }

    /**
     * Returns the number of candidates, which grows with the key's fraction of this balancer's
     * traffic, so that a hot key does not overload two servers.
     */
    private int candidateCountFor(long key) {
        double traffic = hotKeys.trafficFraction(key, SeededRandom.mix(key));
        return (int)
                Math.max(
                        DEFAULT_CANDIDATES,
                        Math.min(
                                MAX_CANDIDATES,
                                Math.ceil(traffic * health.cacheCount * CAPACITY_FACTOR)));
    }

    /**
     * Returns the candidate with the fewest of this balancer's attempts in flight, or null without
     * candidates. Among equals it is the first by rank unless that is slower. An outlier is chosen
     * last, except for one in {@link #OUTLIER_READ_INTERVAL} of the reads it is a candidate for.
     */
    TrackedServer selectLeastLoaded() {
        // With many balancers most counts are 0, and latency breaks the tie.
        TrackedServer best = null;
        boolean isBestSkipped = false;
        for (int i = 0; i < rankedCount && i < candidateCount; i++) {
            TrackedServer server = ranked[i];
            boolean isSkipped =
                    server.isOutlier && ++server.skippedReads % OUTLIER_READ_INTERVAL != 0;
            if (best == null
                    || isBestSkipped && !isSkipped
                    || isSkipped == isBestSkipped && isLessLoaded(server, best)) {
                best = server;
                isBestSkipped = isSkipped;
            }
        }
        return best;
    }

    private static boolean isLessLoaded(TrackedServer server, TrackedServer other) {
        return server.inFlight < other.inFlight
                || server.inFlight == other.inFlight
                        && other.latencyNanos > SLOWER_RATIO * server.latencyNanos;
    }
}
