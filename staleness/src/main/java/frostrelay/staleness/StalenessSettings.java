package frostrelay.staleness;

/**
 * Timeouts and limits of staleness detection. Times are in nanoseconds, fractions between 0 and 1.
 *
 * @param graceNanos how long to wait for a newer list before polling; the discovery service usually
 *     notifies all balancers within this time
 * @param minPollIntervalNanos first interval between polls of the discovery service; doubled after
 *     each poll
 * @param maxPollIntervalNanos longest interval between polls, and the interval between readings of
 *     the configuration file
 * @param probationNanos minimum time from the proof of a newer configuration until the balancer
 *     follows it
 * @param pollSpreadNanos maximum time per balancer over which the polls of stale balancers are
 *     spread
 * @param watchTimeoutNanos how long a watch waits. Divided by the number of balancers, it limits
 *     the spread in a large cluster, so that polls are as frequent as all watches together
 * @param reportLifetimeNanos maximum time for which a cache is avoided because of peers' reports
 * @param singleReportLifetimeNanos maximum time, once within the report lifetime, for which a cache
 *     is avoided because of a single peer's report
 * @param stalenessBoundNanos a balancer that is behind for longer than this is a straggler and may
 *     drain itself
 * @param maxAvoidedFraction maximum fraction of the caches to avoid because of peers' reports
 * @param maxSelfDrainingFraction maximum fraction of the balancers that may drain themselves at the
 *     same time
 * @param failureMargin decrease of the success ratio at which a version counts as failing
 * @param attributionWindowNanos how long after a version was applied failures are attributed to it,
 *     and how long a report of such failures is valid
 * @param earlyExitNanos a crash within this time after a version was applied is attributed to that
 *     version
 */
public record StalenessSettings(
        long graceNanos,
        long minPollIntervalNanos,
        long maxPollIntervalNanos,
        long probationNanos,
        long pollSpreadNanos,
        long watchTimeoutNanos,
        long reportLifetimeNanos,
        long singleReportLifetimeNanos,
        long stalenessBoundNanos,
        double maxAvoidedFraction,
        double maxSelfDrainingFraction,
        double failureMargin,
        long attributionWindowNanos,
        long earlyExitNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * The standard values.
     *
     * <ul>
     *   <li>Grace: a watch is notified within the platform's tolerance of 200 ms, and a peer's
     *       datagram takes 30 ms.
     *   <li>Poll intervals: a poll costs the discovery service as much as a list does. Starting at
     *       1 s and doubling, a cluster of a hundred balancers that gets no notification makes 10
     *       polls per second, as many as its watches alone.
     *   <li>Probation: balancers that apply a version report within 3.5 s that they serve worse
     *       under it, and their peers receive the reports within 2 s more.
     *   <li>Spread: five polls per second, as many as a hundred watches of 20 s make.
     *   <li>Report lifetime: five times the 6 s within which the platform notifies all balancers.
     *   <li>Single report: the same 6 s. Repeated wrong reports of one peer make a third of the
     *       caches unused for a fifth of the time.
     *   <li>Staleness bound: 6 s exceeds the notification tolerance of the platform.
     *   <li>Avoided fraction: clusters reduced to a third of their caches still served, so a
     *       reduction by a third is tolerable.
     *   <li>Draining fraction: three of four balancers can carry the load of four.
     *   <li>Failure margin: fault-free days under the same build differ by 0.03 in their success
     *       ratio, seconds with 20 requests by 0.07; 0.2 exceeds both.
     *   <li>Attribution: one minute, as an old fault that appears later cannot be distinguished
     *       from a new one.
     *   <li>Early exit: a start takes 2 s, up to 30 s on a slow machine, and a faulty configuration
     *       fails immediately.
     * </ul>
     */
    public static final StalenessSettings STANDARD =
            new StalenessSettings(
                    300 * NANOS_PER_MILLI,
                    1_000 * NANOS_PER_MILLI,
                    10_000 * NANOS_PER_MILLI,
                    6_000 * NANOS_PER_MILLI,
                    200 * NANOS_PER_MILLI,
                    20_000 * NANOS_PER_MILLI,
                    30_000 * NANOS_PER_MILLI,
                    6_000 * NANOS_PER_MILLI,
                    6_000 * NANOS_PER_MILLI,
                    1 / 3.0,
                    0.25,
                    0.2,
                    60_000 * NANOS_PER_MILLI,
                    10_000 * NANOS_PER_MILLI);
}
