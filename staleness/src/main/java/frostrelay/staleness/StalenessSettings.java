package frostrelay.staleness;

/**
 * Bounds, in nanoseconds and parts of 1, each with its reason.
 *
 * @param graceNanos a newer list that others act on is waited for so long: discovery tells it to
 *     all within this as a rule
 * @param minPollIntervalNanos from one call of discovery to the next, at first; doubled each time
 *     that it brought nothing
 * @param maxPollIntervalNanos the most of that, and from one reading of the configuration's file to
 *     the next
 * @param probationNanos a later configuration is followed no sooner than so long behind its proof
 * @param pollSpreadNanos calls of several that are behind are spread over this for each of them at
 *     most, and in a large tier over
 * @param watchTimeoutNanos how long a watch waits, divided by the balancers: as often as all of
 *     them call in calm
 * @param reportLifetimeNanos a cache is avoided on others' word for so long at most, and on one's
 *     alone for no longer than
 * @param singleReportLifetimeNanos this, once in that time
 * @param stalenessBoundNanos behind for longer, and not brought up, a balancer is a straggler and
 *     may step aside
 * @param maxAvoidedFraction part of the caches that hearsay may take away, whoever says what
 * @param maxSelfDrainingFraction of the balancers that may be aside at once
 * @param failureMargin so much less of what ends is served than before: a version fails
 * @param attributionWindowNanos for so long behind its taking a version is answerable for what is
 *     served, and a word of that stands
 * @param earlyExitNanos a life that ends out of order so soon behind its taking of a version has
 *     ended by it
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
     * Grace: a watch is told within the platform's slack of 200 ms, and a peer's word takes 30 ms.
     * Ask: a call costs discovery what a list costs; at a second and doubling, a fleet of a hundred
     * that is told nothing makes 10 calls a second, as many as its watches alone. Probation: those
     * that took a version say within 3.5 s that they serve worse under it, and within two more
     * others have heard. Spread: five calls a second, as a hundred watches of 20 s make. Hearsay:
     * the platform holds that whatever is to be told has been within 6 s; five times that. Alone:
     * that slack; one that lies takes a third of the caches for a fifth of the time. Bound: behind
     * for 6 s is past that slack. Away: fleets of caches have shrunk to a third and served; a third
     * fewer is borne. Part: three in four balancers carry what four did. Worse: calm days of one
     * build differ by 0.03, a second's share over 20 requests by 0.07; a fifth is neither.
     * Answerable: a minute, as an old fault that shows later is not told from a new one. Young: a
     * start takes 2 s here, up to 30 s on a slow machine, and what a configuration breaks it breaks
     * at once.
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
