package frostrelay.counters;

/**
 * Bounds, each with its reason; nanoseconds, a second, and parts of 1.
 *
 * @param minSendIntervalNanos one peer is told no sooner again
 * @param directSendAfterNanos who was told so long ago may be told straight
 * @param smallClusterPeers others of a tier that is small
 * @param smallClusterSendsPerSecond so many are told straight a second in one
 * @param sendsPerSecond and in one that is not
 * @param rateWindowNanos a rate is taken over so long at least
 * @param freshNanos a writer's rate counts in full for so long behind its last word
 * @param expiryNanos and slides to nothing by then
 * @param maxRateGrowth no balancer does more than this times what it was seen to do at its fastest
 * @param minPeakRatePerSecond and each is taken to do so much a second at its fastest
 * @param maxRatePerSecond what claims more a second is passed over
 */
public record ClusterCounterSettings(
        long minSendIntervalNanos,
        long directSendAfterNanos,
        int smallClusterPeers,
        int smallClusterSendsPerSecond,
        int sendsPerSecond,
        long rateWindowNanos,
        long freshNanos,
        long expiryNanos,
        double maxRateGrowth,
        double minPeakRatePerSecond,
        double maxRatePerSecond) {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    /**
     * Again: four times a second to one peer is as often as anybody decides by it. Silent, few,
     * posts: in a small tier all hear within a second or two; in a large one two datagrams of 80
     * bytes a second are 0.0006 of what service is worth. Window: a second of ten requests has a
     * third of chance in it, but a longer one is late. Fresh: a small tier's probes come round in
     * three. Forget: as judgements. Leap: days have bursts of half as much again, and a tier that
     * loses half doubles what is left; four leaves room for both. Least: a balancer that has just
     * begun was seen to do nothing. Most: a core does ten thousand requests a second.
     */
    public static final ClusterCounterSettings STANDARD =
            new ClusterCounterSettings(
                    250 * NANOS_PER_MILLISECOND,
                    800 * NANOS_PER_MILLISECOND,
                    16,
                    4,
                    2,
                    1_000 * NANOS_PER_MILLISECOND,
                    3_000 * NANOS_PER_MILLISECOND,
                    10_000 * NANOS_PER_MILLISECOND,
                    4,
                    50,
                    50_000);
}
