package frostrelay.stragglers;

/**
 * Bounds, in nanoseconds and parts of 1, each with its reason.
 *
 * @param grace    a newer list that others act on is waited for so long: discovery tells it to all within this as a rule
 * @param askLeast from one call of discovery to the next, at first; doubled each time that it brought nothing
 * @param askMost  the most of that, and from one reading of the configuration's file to the next
 * @param spread   calls of several that are behind are spread over this for each of them at most, and in a large tier over
 * @param watch    how long a watch waits, divided by the balancers: as often as all of them call in calm
 * @param hearsay  a cache is avoided on others' word for so long at most, and on one's alone for no longer than
 * @param alone    this, once in that time
 * @param bound    behind for longer, and not brought up, a balancer is a straggler and may step aside
 * @param away     part of the caches that hearsay may take away, whoever says what
 * @param part     of the balancers that may be aside at once
 */
public record StragglerSettings(long grace, long askLeast, long askMost, long spread, long watch, long hearsay, long alone, long bound,
                                double away, double part) {
    private static final long MILLISECOND = 1_000_000L;

    /**
     * Grace: a watch is told within the platform's slack of 200 ms, and a peer's word takes 30 ms. Ask: a call costs discovery
     * what a list costs; at a second and doubling, a fleet of a hundred that is told nothing makes 10 calls a second, as many
     * as its watches alone. Spread: five calls a second, as a hundred watches of
     * 20 s make. Hearsay: the platform holds that whatever is to be
     * told has been within 6 s; five times that. Alone: that slack; one that lies takes a third of the caches for a fifth of the time. Bound: behind for 6 s is past that slack. Away: fleets of
     * caches have shrunk to a third and served; a third fewer is borne. Part: three in four balancers carry what four did.
     */
    public static final StragglerSettings STANDARD = new StragglerSettings(300 * MILLISECOND, 1_000 * MILLISECOND,
            10_000 * MILLISECOND, 200 * MILLISECOND,
            20_000 * MILLISECOND, 30_000 * MILLISECOND, 6_000 * MILLISECOND, 6_000 * MILLISECOND, 1 / 3.0, 0.25);
}
