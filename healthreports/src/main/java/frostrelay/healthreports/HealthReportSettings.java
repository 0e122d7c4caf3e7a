package frostrelay.healthreports;

/**
 * Limits and intervals of health reports.
 *
 * @param halfLifeNanos half-life of a balancer's own counts of a cache
 * @param freshNanos an answer to this balancer this recent outweighs all peers' reports
 * @param expiryNanos reports older than this are rejected and dropped
 * @param minReportIntervalNanos shortest time between two reports on one cache, unless it recovered
 * @param renewalIntervalNanos how often the report is renewed while a cache stays unhealthy
 * @param batchDelayNanos small clusters send reports together that come up within this time
 * @param fanoutFactor in large clusters a balancer sends its own report to this factor times the
 *     base-2 logarithm of the cluster size
 * @param relayFanout peers that a received report is relayed to
 * @param requiredReporters reporters that are needed to eject a cache
 * @param sufficientReporters with this many known, further reports are not spread
 * @param maxEjectedFraction largest fraction of the ready caches that may be ejected
 * @param commonCauseFraction if more than this fraction of the caches is unhealthy and reachable,
 *     the cause is taken to lie behind them all and none of those is ejected
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
     *   <li>halfLife: of a hundred balancers each uses a given cache once in six to nine seconds;
     *       two seconds, a third of that, keep a report to what was just observed.
     *   <li>fresh: one second, so that a failed cache is ejected that soon even if it has just
     *       answered.
     *   <li>expiry: five half-lives; a cache that was unhealthy is used again then, and with an
     *       eighth of its reads before.
     *   <li>minReportInterval: three a second per cache, at ten caches a third of the bandwidth
     *       limit.
     *   <li>renewalInterval: below expiry by more than one lost round.
     *   <li>batchDelay: as for gossip updates.
     *   <li>fanoutFactor: as for gossip updates, enough at 30% loss.
     *   <li>relayFanout: three reporters, each sending to ten of a hundred that relay to four, make
     *       120 sends for a hundred balancers.
     *   <li>requiredReporters: two may both be cut off from the cache, or one cut off and one
     *       faulty; a third makes that improbable. With fewer than four peers, all but one.
     *   <li>sufficientReporters: each report reaches a fifth of a large cluster, so that of eight a
     *       balancer receives three.
     *   <li>maxEjectedFraction: as for slow outliers.
     *   <li>commonCauseFraction: more than two in six caches that fail or slow down at once, while
     *       connections to them stand, have an origin behind them.
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
