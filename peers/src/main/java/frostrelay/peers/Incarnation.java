package frostrelay.peers;

/**
 * Numbers the lives of a balancer: 48 bits, of which the upper 41 are the milliseconds of its start
 * since 2024 and the lower 7 count its objections to being called dead. They only rise: a life that
 * hears of a later one under its own name, because the wall clock was set back, goes on from there.
 */
public final class Incarnation {
    /** 2024-01-01T00:00:00Z in Unix milliseconds. */
    private static final long EPOCH = 1_704_067_200_000L;

    private static final int OBJECTIONS = 7;
    private static final long MOST = (1L << 48) - 1;

    /** Wall clocks of one fleet are not a day apart; what claims more is damaged or lies. */
    private static final long DAY_MS = 86_400_000L;

    /** A process is not younger than another of its name by less. */
    private static final long LIFE = 1L << OBJECTIONS;

    private Incarnation() {}

    /** Of a life that began at this Unix time in milliseconds. */
    public static long of(long unixMs) {
        return Math.min(MOST, Math.max(1, unixMs - EPOCH) << OBJECTIONS);
    }

    /** The one behind a number: an objection. */
    static long next(long incarnation) {
        return Math.min(MOST, incarnation + 1);
    }

    /** The first of a life behind all of those that the number may belong to. */
    static long overtaking(long incarnation) {
        return Math.min(MOST, (incarnation / LIFE + 1) * LIFE);
    }

    /**
     * Whether a balancer can have it, seen from one whose own is {@code mine} and who has lived for
     * so long.
     */
    static boolean plausible(long incarnation, long mine, long livedMs) {
        return incarnation > 0
                && incarnation >> OBJECTIONS <= (mine >> OBJECTIONS) + livedMs + DAY_MS;
    }

    /** Its life's start in Unix milliseconds, as that process saw it. */
    public static long unixMs(long incarnation) {
        return (incarnation >> OBJECTIONS) + EPOCH;
    }
}
