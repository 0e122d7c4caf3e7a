package frostrelay.gossip;

import java.util.Arrays;

/**
 * What is known of every member, by rank. One array per field rather than one object per member, as
 * an emulated cluster of 2,000 members holds four million rows.
 */
final class MembershipTable {
    /** Earlier than any time; sums with it do not overflow. */
    static final long NEVER_NANOS = Long.MIN_VALUE / 4;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A hundred times the drift of a quartz clock. */
    private static final double MAX_CLOCK_DRIFT = 0.01;

    /** The uptime on the wire has 32 bits. */
    private static final long UPTIME_WRAP_MILLIS = 1L << Integer.SIZE;

    private static final MemberState[] STATES = MemberState.values();

    final int count;
    final long[] incarnations;

    /** How often the member's applied versions had changed in its incarnation. */
    final int[] sequences;

    final int[] fingerprints;

    /** When the member last confirmed its entry itself, whichever peer passed it on. */
    final long[] reportedAtNanos;

    /** When the last datagram of the member itself was received. */
    final long[] heardAtNanos;

    /** Periods in a row in which the member answered no probe of the local member. */
    final byte[] missedProbes;

    private final byte[] states;

    /** The least difference seen between the local clock and the member's uptime. */
    private final long[] clockOffsetMillis;

    /** Start of the process to which the offset belongs. */
    private final long[] clockStartMillis;

    private final long[] clockSampledAtNanos;

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
     * For how long a datagram was delayed, compared with the fastest one lately: what waited in the
     * socket of a paused process is that old. Clocks may drift apart by {@link #MAX_CLOCK_DRIFT}.
     *
     * @param startMillis when the sender's process started
     * @param uptimeMillis the sender's uptime at the time of writing, modulo 2^32
     * @return nanoseconds; 0 for the first datagram of a process
     */
    long queueingDelayNanos(long now, int rank, long startMillis, long uptimeMillis) {
        long offsetMillis = now / NANOS_PER_MILLI - uptimeMillis;
        if (clockStartMillis[rank] != startMillis) {
            clockStartMillis[rank] = startMillis;
            clockOffsetMillis[rank] = offsetMillis;
        } else {
            long maxDriftNanos = (long) (MAX_CLOCK_DRIFT * (now - clockSampledAtNanos[rank]));
            long maxOffsetMillis = clockOffsetMillis[rank] + maxDriftNanos / NANOS_PER_MILLI;
            offsetMillis -=
                    Math.round((offsetMillis - maxOffsetMillis) / (double) UPTIME_WRAP_MILLIS)
                            * UPTIME_WRAP_MILLIS;
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

    /** Time since the member confirmed its entry; negative where it never did. */
    long ageNanos(long now, int rank) {
        return reportedAtNanos[rank] == NEVER_NANOS ? -1 : now - reportedAtNanos[rank];
    }

    /** Whether one 16-bit sequence number follows another, modulo 2^16. */
    static boolean isLater(int sequence, int other) {
        return (short) (sequence - other) > 0;
    }
}
