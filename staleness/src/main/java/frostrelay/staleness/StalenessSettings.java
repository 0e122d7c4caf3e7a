package frostrelay.staleness;

/**
 * Timeouts and limits, in nanoseconds and parts of 1.
 *
 * @param graceNanos how long a newer list is waited for: the discovery service usually notifies all
 *     balancers within this
 * @param minPollIntervalNanos first interval between polls of the discovery service; doubled after
 *     each
 * @param maxPollIntervalNanos the longest such interval, and the one between readings of the
 *     configuration's file
 * @param probationNanos how long after its proof a newer configuration is followed at the earliest
 * @param pollSpreadNanos time per balancer over which the polls of those that are behind are
 *     spread, at most
 * @param watchTimeoutNanos how long a watch waits: divided by the number of balancers, it limits
 *     the spread in a large cluster, so that polls are as frequent as all watches together
 * @param reportLifetimeNanos how long a cache is avoided because of peers' reports, at most
 * @param singleReportLifetimeNanos how long, once within the former, because of a single peer's
 * @param stalenessBoundNanos a balancer that is behind for longer is a straggler and may drain
 *     itself
 * @param maxAvoidedFraction part of the caches that peers' reports may take away
 * @param maxSelfDrainingFraction part of the balancers that may drain themselves at once
 * @param failureMargin decrease of the success ratio that makes a version failing
 * @param attributionWindowNanos how long after it was applied a version is blamed for failures, and
 *     how long a report of that is valid
 * @param earlyExitNanos a process that crashes so soon after it applied a version crashed because
 *     of it
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
     * The standard values. Grace: a watch is notified within the platform's tolerance of 200 ms,
     * and a peer's datagram takes 30 ms. Poll intervals: a poll costs the discovery service as much
     * as a list does; from a second on and doubling, a cluster of a hundred that gets no
     * notification makes 10 polls a second, as many as its watches alone. Probation: balancers on a
     * version report within 3.5 s that they serve worse under it, and within two more their peers
     * have received that. Spread: five polls a second, as a hundred watches of 20 s make. Report
     * lifetime: five times the 6 s within which the platform notifies everybody. Single report:
     * those 6 s; a wrong one takes a third of the caches away for a fifth of the time. Staleness
     * bound: 6 s is past that tolerance. Avoided fraction: clusters of caches have shrunk to a
     * third and served; a third fewer is tolerable. Draining fraction: three in four balancers
     * carry the load of four. Failure margin: days without faults under one build differ by 0.03, a
     * second's ratio over 20 requests by 0.07; a fifth is neither. Attribution: a minute, as an old
     * fault that shows later cannot be told from a new one. Early exit: a start takes 2 s, up to 30
     * s on a slow machine, and what a configuration breaks it breaks at once.
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
