package frostrelay.gossip;

/**
 * Incarnation numbers of a member: 48 bits, of which the upper 41 are the start time of its process
 * in milliseconds since 2024 and the lower 7 count its refutations. They only increase: if the wall
 * clock was set back, a process may receive a later incarnation of its own rank, and continues from
 * that one.
 */
public final class Incarnation {
    /** 2024-01-01T00:00:00Z in Unix milliseconds. */
    private static final long EPOCH_MILLIS = 1_704_067_200_000L;

    private static final int REFUTATION_BITS = 7;
    private static final long MAX_VALUE = (1L << 48) - 1;

    /** Maximum wall-clock difference in a cluster; later incarnations are damaged or forged. */
    private static final long DAY_MILLIS = 86_400_000L;

    private static final long REFUTATIONS_PER_START = 1L << REFUTATION_BITS;

    private Incarnation() {}

    /** Returns the first incarnation of a process that started at this time. */
    public static long fromUnixMillis(long unixMillis) {
        return Math.min(MAX_VALUE, Math.max(1, unixMillis - EPOCH_MILLIS) << REFUTATION_BITS);
    }

    /** Returns the next incarnation of the same process, for a refutation. */
    static long next(long incarnation) {
        return Math.min(MAX_VALUE, incarnation + 1);
    }

    /** Returns the first incarnation of a process that started 1 ms after the given one's. */
    static long nextStartAfter(long incarnation) {
        return Math.min(
                MAX_VALUE, (incarnation / REFUTATIONS_PER_START + 1) * REFUTATIONS_PER_START);
    }

    /**
     * Returns whether an incarnation is valid and not too far in the future.
     *
     * @param localIncarnation the local member's incarnation at its start
     * @param uptimeMillis the local member's uptime
     */
    static boolean isPlausible(long incarnation, long localIncarnation, long uptimeMillis) {
        return incarnation > 0
                && incarnation >> REFUTATION_BITS
                        <= (localIncarnation >> REFUTATION_BITS) + uptimeMillis + DAY_MILLIS;
    }

    /** Returns the start time of the process in Unix milliseconds, by its own wall clock. */
    public static long toUnixMillis(long incarnation) {
        return (incarnation >> REFUTATION_BITS) + EPOCH_MILLIS;
    }
}
