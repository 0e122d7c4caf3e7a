package frostrelay.gossip;

/**
 * Numbers the lives of a balancer: 48 bits, of which the upper 41 are the milliseconds of its start
 * since 2024 and the lower 7 count its objections to being called dead. They only rise: a life that
 * hears of a later one under its own name, because the wall clock was set back, goes on from there.
 */
public final class Incarnation {
    /** 2024-01-01T00:00:00Z in Unix milliseconds. */
    private static final long EPOCH_MILLIS = 1_704_067_200_000L;

    private static final int REFUTATION_BITS = 7;
    private static final long MAX_VALUE = (1L << 48) - 1;

    /** Wall clocks of one fleet are not a day apart; what claims more is damaged or lies. */
    private static final long DAY_MILLIS = 86_400_000L;

    /** A process is not younger than another of its name by less. */
    private static final long REFUTATIONS_PER_START = 1L << REFUTATION_BITS;

    private Incarnation() {}

    /** Of a life that began at this Unix time in milliseconds. */
    public static long fromUnixMillis(long unixMillis) {
        return Math.min(MAX_VALUE, Math.max(1, unixMillis - EPOCH_MILLIS) << REFUTATION_BITS);
    }

    /** The one behind a number: an objection. */
    static long next(long incarnation) {
        return Math.min(MAX_VALUE, incarnation + 1);
    }

    /** The first of a life behind all of those that the number may belong to. */
    static long nextStartAfter(long incarnation) {
        return Math.min(
                MAX_VALUE, (incarnation / REFUTATIONS_PER_START + 1) * REFUTATIONS_PER_START);
    }

    /**
     * Whether a balancer can have it, seen from one whose own is {@code localIncarnation} and who
     * has lived for so long.
     */
    static boolean isPlausible(long incarnation, long localIncarnation, long uptimeMillis) {
        return incarnation > 0
                && incarnation >> REFUTATION_BITS
                        <= (localIncarnation >> REFUTATION_BITS) + uptimeMillis + DAY_MILLIS;
    }

    /** Its life's start in Unix milliseconds, as that process saw it. */
    public static long toUnixMillis(long incarnation) {
        return (incarnation >> REFUTATION_BITS) + EPOCH_MILLIS;
    }
}
