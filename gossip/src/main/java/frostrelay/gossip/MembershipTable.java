package frostrelay.gossip;

import java.util.Arrays;

/**
 * What is known of every balancer of the tier, by its number. Arrays, as an emulated fleet of 2,000
 * holds four million of these rows.
 */
final class MembershipTable {
    /** Far enough back to be older than anything; no sum with it overflows. */
    static final long NEVER_NANOS = Long.MIN_VALUE / 4;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A hundred times that of quartz. */
    private static final double MAX_CLOCK_DRIFT = 0.01;

    private static final double UPTIME_WRAP_MILLIS = 1L << Integer.SIZE;

    final int count;
    final byte[] states;
    final long[] incarnations;

    /** How often its stamp had changed in that life. */
    final int[] sequences;

    final int[] fingerprints;

    /** When it said so itself, whoever brought it here. */
    final long[] reportedAtNanos;

    /** When a datagram of its own came last. */
    final long[] heardAtNanos;

    /**
     * By how much its clock has stood behind this one's at the least, milliseconds, in which life
     * of it, and when that was asked.
     */
    final long[] clockOffsetMillis;

    final long[] clockStartMillis;
    final long[] clockSampledAtNanos;

    /** Periods in a row in which it answered nobody's probe that began here. */
    final byte[] missedProbes;

    MembershipTable(int count) {
        this.count = count;
        states = new byte[count];
        incarnations = new long[count];
        sequences = new int[count];
        fingerprints = new int[count];
        reportedAtNanos = new long[count];
        heardAtNanos = new long[count];
        missedProbes = new byte[count];
        clockOffsetMillis = new long[count];
        clockStartMillis = new long[count];
        clockSampledAtNanos = new long[count];
        Arrays.fill(reportedAtNanos, NEVER_NANOS);
        Arrays.fill(heardAtNanos, NEVER_NANOS);
    }

    /**
     * For how long word was held up on its way, nanoseconds, over the fastest lately: a process
     * that was stopped finds it in its socket, and it is as old as that. By its writer's own clock,
     * {@code uptimeMillis} milliseconds into its life; 0 where nothing is known to hold that
     * against. Clocks may part by {@link #MAX_CLOCK_DRIFT}.
     */
    long queueingDelayNanos(long now, int rank, long startMillis, long uptimeMillis) {
        long offsetMillis = now / NANOS_PER_MILLI - uptimeMillis;
        if (clockStartMillis[rank] != startMillis) {
            clockStartMillis[rank] = startMillis;
            clockOffsetMillis[rank] = offsetMillis;
        } else {
            long maxOffsetMillis =
                    clockOffsetMillis[rank]
                            + (long) (MAX_CLOCK_DRIFT * (now - clockSampledAtNanos[rank]))
                                    / NANOS_PER_MILLI;
            // Its clock has 32 bits and goes round.
            offsetMillis -=
                    Math.round((offsetMillis - maxOffsetMillis) / UPTIME_WRAP_MILLIS)
                            * (1L << Integer.SIZE);
            clockOffsetMillis[rank] = Math.min(maxOffsetMillis, offsetMillis);
        }
        clockSampledAtNanos[rank] = now;
        return (offsetMillis - clockOffsetMillis[rank]) * NANOS_PER_MILLI;
    }

    MemberState state(int rank) {
        return STATES[states[rank]];
    }

    void state(int rank, MemberState state) {
        states[rank] = (byte) state.ordinal();
    }

    private static final MemberState[] STATES = MemberState.values();

    /** Whether one stamp's place in a life is behind another's; places are 16 bits and go round. */
    static boolean isLater(int sequence, int other) {
        return (short) (sequence - other) > 0;
    }
}
