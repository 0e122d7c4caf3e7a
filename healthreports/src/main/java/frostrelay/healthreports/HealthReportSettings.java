package frostrelay.healthreports;

/**
 * Limits and intervals of health reports.
 *
 * @param halfLifeNanos half-life of a balancer's own counts of a cache
 * @param freshNanos age up to which an answer to this balancer outweighs all peers' reports
 * @param expiryNanos reports older than this are rejected and dropped
 * @param minReportIntervalNanos shortest time between two reports on one cache, unless it recovered
 * @param renewalIntervalNanos how often the report is renewed while a cache stays unhealthy
 * @param batchDelayNanos time for which a small cluster collects reports before it sends them
 *     together
 * @param fanoutFactor in large clusters a balancer sends its own report to this factor times the
 *     base-2 logarithm of the cluster size
 * @param relayFanout peers that a received report is relayed to
 * @param requiredReporters reporters that are needed to eject a cache
 * @param sufficientReporters number of known reporters from which further reports are not sent
 * @param maxEjectedFraction largest fraction of the ready caches that may be ejected
 * @param commonCauseFraction if more than this fraction of the caches is unhealthy and reachable, a
 *     common cause such as their origin is assumed and none of those is ejected
 */
public record HealthReportSettings(
        long halfLifeNanos,
        long freshNanos,
        long expiryNanos,
        long minReportIntervalNanos,
        long renewalIntervalNanos,
        long batchDelayNanos,
        double fanoutFactor,
        int relayFanout,
        int requiredReporters,
        int sufficientReporters,
        double maxEjectedFraction,
        double commonCauseFraction) {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    /**
     * The values in production, each with its reason:
     *
     * <ul>
     *   <li>halfLife: in a cluster of a hundred balancers, each uses a given cache once in six to
     *       nine seconds; with two seconds, a third of that, a report reflects only the latest
     *       attempts.
     *   <li>fresh: one second, so that a cache that fails right after an answer can still be
     *       ejected within that time.
     *   <li>expiry: five half-lives; after it a cache that was ejected is used normally again, and
     *       until then with an eighth of its reads.
     *   <li>minReportInterval: three reports a second per cache; for ten caches they use a third of
     *       the bandwidth limit.
     *   <li>renewalInterval: enough shorter than expiry that one lost renewal does not let a report
     *       expire.
     *   <li>batchDelay: as for gossip updates.
     *   <li>fanoutFactor: as for gossip updates, enough at 30% loss.
     *   <li>relayFanout: three reporters that each send to ten of a hundred balancers, each of
     *       which relays to four, make 120 sends for a hundred balancers.
     *   <li>requiredReporters: two reporters may both be partitioned from the cache, or one
     *       partitioned and one faulty; with a third this is improbable. With fewer than four
     *       peers, reports of all but one are required.
     *   <li>sufficientReporters: each report reaches a fifth of a large cluster, so a balancer
     *       receives three of eight.
     *   <li>maxEjectedFraction: as for slow outliers.
     *   <li>commonCauseFraction: if more than two of six caches fail or slow down at once while
     *       connections to them stay open, the cause is their origin.
     * </ul>
     */
    public static final HealthReportSettings STANDARD =
            new HealthReportSettings(
                    2_000 * NANOS_PER_MILLISECOND,
                    1_000 * NANOS_PER_MILLISECOND,
                    10_000 * NANOS_PER_MILLISECOND,
                    300 * NANOS_PER_MILLISECOND,
                    3_000 * NANOS_PER_MILLISECOND,
                    10 * NANOS_PER_MILLISECOND,
                    1.5,
                    4,
                    3,
                    8,
                    1 / 3.0,
                    0.34);
}
