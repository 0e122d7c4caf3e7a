package frostrelay.counters;

/**
 * Limits and intervals of cluster counters.
 *
 * @param minSendIntervalNanos shortest time between two sections to one peer
 * @param directSendAfterNanos time after the last section sent to a peer from which it may be sent
 *     one directly
 * @param smallClusterPeers a cluster with at most this many peers is small
 * @param smallClusterSendsPerSecond direct sends a second in a small cluster
 * @param sendsPerSecond direct sends a second in a large cluster
 * @param rateWindowNanos shortest time over which a rate is measured
 * @param freshNanos age of a peer's last section up to which its rate has full weight
 * @param expiryNanos age at which the weight, falling linearly, reaches 0
 * @param maxRateGrowth factor of its observed peak rate that no balancer is assumed to exceed
 * @param minPeakRatePerSecond lower limit for the peak rate assumed for a balancer
 * @param maxRatePerSecond sections that imply a higher rate are rejected
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
     * The values in production, each with its reason:
     *
     * <ul>
     *   <li>minSendInterval: four times a second, as often as any decision uses the totals.
     *   <li>directSendAfter, smallClusterPeers and the sends a second: in a small cluster all peers
     *       receive within a second or two; in a large one two datagrams of 80 bytes a second cost
     *       0.0006 of the traffic served.
     *   <li>rateWindow: at ten requests a second, about a third of a rate over one second is random
     *       variation, but a longer window reacts late.
     *   <li>fresh: in a small cluster a round of probes takes three seconds.
     *   <li>expiry: as for health reports.
     *   <li>maxRateGrowth: daily bursts raise the rate by half, and the loss of half the balancers
     *       doubles the load of the rest; a factor of four leaves a margin for both.
     *   <li>minPeakRate: a balancer that has just started has no observed rate.
     *   <li>maxRate: one core serves ten thousand requests a second.
     * </ul>
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
