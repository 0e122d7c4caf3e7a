package frostrelay.judgements;

/**
 * Bounds, in nanoseconds and parts of 1, each with its reason.
 *
 * @param half a balancer's own counts of a cache are halved in this time
 * @param fresh own answers so lately outweigh whatever others say
 * @param forget evidence older than this is passed over and dropped
 * @param again one writes no sooner again of one cache, but for a change to the better
 * @param renew as long as a cache is bad here its evidence is written anew so often
 * @param gather what is news within this is told together, in a tier so small that all are told
 * @param sends own evidence is told to this times the logarithm of the tier, to base 2, in one that
 *     is not
 * @param passes and what one said itself is passed on to so many
 * @param witnesses so many others with bad evidence lower a cache
 * @param enough with so many bad witnesses known, further ones are not told on
 * @param lowered part of the listed caches that others' word may lower, whoever says what
 * @param common more than this part of the caches bad while they are there is one cause behind them
 *     all, not theirs
 */
public record JudgementSettings(
        long half,
        long fresh,
        long forget,
        long again,
        long renew,
        long gather,
        double sends,
        int passes,
        int witnesses,
        int enough,
        double lowered,
        double common) {
    private static final long MILLISECOND = 1_000_000L;

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
    public static final JudgementSettings STANDARD =
            new JudgementSettings(
                    2_000 * MILLISECOND,
                    1_000 * MILLISECOND,
                    10_000 * MILLISECOND,
                    300 * MILLISECOND,
                    3_000 * MILLISECOND,
                    10 * MILLISECOND,
                    1.5,
                    4,
                    3,
                    8,
                    1 / 3.0,
                    0.34);
}
