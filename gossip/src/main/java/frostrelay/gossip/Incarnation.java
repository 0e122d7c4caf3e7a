package frostrelay.gossip;

/**
 * Incarnation numbers of a member: 48 bits, of which the upper 41 are the start of its process in
 * milliseconds since 2024 and the lower 7 count its refutations. They only rise: a process that
 * learns of a later one of its own rank, because the wall clock was set back, continues from there.
 */
public final class Incarnation {
    /** 2024-01-01T00:00:00Z in Unix milliseconds. */
    private static final long EPOCH_MILLIS = 1_704_067_200_000L;

    private static final int REFUTATION_BITS = 7;
    private static final long MAX_VALUE = (1L << 48) - 1;

    /** Wall clocks of one cluster differ by less; a higher incarnation is damaged or forged. */
    private static final long DAY_MILLIS = 86_400_000L;

    private static final long REFUTATIONS_PER_START = 1L << REFUTATION_BITS;

    private Incarnation() {}

    /** The first incarnation of a process that started at this Unix time in milliseconds. */
    public static long fromUnixMillis(long unixMillis) {
        return Math.min(MAX_VALUE, Math.max(1, unixMillis - EPOCH_MILLIS) << REFUTATION_BITS);
    }

    /** The next incarnation of the same process: a refutation. */
    static long next(long incarnation) {
        return Math.min(MAX_VALUE, incarnation + 1);
    }

    /** The first incarnation of a process that started after that of the given one. */
    static long nextStartAfter(long incarnation) {
        return Math.min(
                MAX_VALUE, (incarnation / REFUTATIONS_PER_START + 1) * REFUTATIONS_PER_START);
    }

    /**
     * Whether a member may have an incarnation.
     *
     * @param localIncarnation the local member's at its start
     * @param uptimeMillis the local member's
     */
    static boolean isPlausible(long incarnation, long localIncarnation, long uptimeMillis) {
        return incarnation > 0
                && incarnation >> REFUTATION_BITS
                        <= (localIncarnation >> REFUTATION_BITS) + uptimeMillis + DAY_MILLIS;
    }

    /** The start of the process in Unix milliseconds, by its own wall clock. */
    public static long toUnixMillis(long incarnation) {
        return (incarnation >> REFUTATION_BITS) + EPOCH_MILLIS;
    }
}
