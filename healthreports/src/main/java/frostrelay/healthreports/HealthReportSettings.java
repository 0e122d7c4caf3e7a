package frostrelay.healthreports;

/**
 * Bounds, in nanoseconds and parts of 1, each with its reason.
 *
 * @param halfLifeNanos a balancer's own counts of a cache are halved in this time
 * @param freshNanos own answers so lately outweigh whatever others say
 * @param expiryNanos evidence older than this is passed over and dropped
 * @param minReportIntervalNanos one writes no sooner again of one cache, but for a change to the
 *     better
 * @param renewalIntervalNanos as long as a cache is bad here its evidence is written anew so often
 * @param batchDelayNanos what is news within this is told together, in a tier so small that all are
 *     told
 * @param fanoutFactor own evidence is told to this times the logarithm of the tier, to base 2, in
 *     one that is not
 * @param relayFanout and what one said itself is passed on to so many
 * @param requiredReporters so many others with bad evidence lower a cache
 * @param sufficientReporters with so many bad witnesses known, further ones are not told on
 * @param maxEjectedFraction part of the listed caches that others' word may lower, whoever says
 *     what
 * @param commonCauseFraction more than this part of the caches bad while they are there is one
 *     cause behind them all, not theirs
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
     * Half: a hundred balancers meet a cache once in six to nine seconds each, and two seconds are
     * a third of that: what is told is what was just seen. Fresh: a second, so that a dead cache is
     * lowered that soon also where it has just answered. Forget: five times half; a cache that was
     * bad is tried again then, by an eighth of its reads even before. Again: three a second of one
     * cache, at ten caches a third of the ceiling. Renew: below forget by more than a lost round.
     * Gather: as talk does with its news. Sends: as talk's news, enough at 30% loss. Passes: three
     * that say so, each to ten of a hundred, who pass it on to four, make 120 in a hundred.
     * Witnesses: two are cut off, or one lies and one is cut off; a third makes chance of it. In a
     * tier of fewer than four others, all but one. Enough: whoever knows of eight may leave it to
     * them; each is heard by a fifth of a large tier, so that others hear three of them. Lowered:
     * as for stragglers. Common: more than two in six caches that fail or are slow at once, while
     * connections to them stand, have an origin behind them.
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
