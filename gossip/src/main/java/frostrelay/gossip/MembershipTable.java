package frostrelay.gossip;

import java.util.Arrays;

/**
 * The known state of every member, by rank. Stored as one array per field rather than one object
 * per member, because an emulated cluster of 2,000 members holds four million rows.
 */
final class MembershipTable {
    /** A time before any other; arithmetic with it does not overflow. */
    static final long NEVER_NANOS = Long.MIN_VALUE / 4;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Maximum relative drift between two clocks; a hundred times that of a quartz clock. */
    private static final double MAX_CLOCK_DRIFT = 0.01;

    /** The uptime on the wire has 32 bits. */
    private static final long UPTIME_WRAP_MILLIS = 1L << Integer.SIZE;

    private static final MemberState[] STATES = MemberState.values();

    final int count;
    final long[] incarnations;

    /** How often the member's applied versions had changed in its incarnation. */
    final int[] sequences;

    final int[] fingerprints;

    /** When the member itself last confirmed its entry, received directly or through a peer. */
    final long[] reportedAtNanos;

    /** When the last datagram sent by the member was received. */
    final long[] lastDatagramAtNanos;

    /** Consecutive periods in which the member answered no probe of the local member. */
    final byte[] missedProbes;

    private final byte[] states;

    /** The smallest observed difference between the local clock and the member's uptime. */
    private final long[] clockOffsetMillis;

    /** Start time of the process to which the offset applies. */
    private final long[] clockStartMillis;

    private final long[] clockSampledAtNanos;

    MembershipTable(int count) {
        this.count = count;
        states = new byte[count];
        incarnations = new long[count];
        sequences = new int[count];
        fingerprints = new int[count];
        reportedAtNanos = new long[count];
        lastDatagramAtNanos = new long[count];
        missedProbes = new byte[count];
        clockOffsetMillis = new long[count];
        clockStartMillis = new long[count];
        clockSampledAtNanos = new long[count];
        Arrays.fill(reportedAtNanos, NEVER_NANOS);
        Arrays.fill(lastDatagramAtNanos, NEVER_NANOS);
    }

    /**
     * Returns how much longer a datagram was delayed than the fastest recent one from the same
     * process. Detects datagrams that were queued in the socket while this process was paused.
     * Clocks may drift apart by {@link #MAX_CLOCK_DRIFT}.
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

    /** Returns the time since the member confirmed its entry; negative if it never did. */
    long ageNanos(long now, int rank) {
        return reportedAtNanos[rank] == NEVER_NANOS ? -1 : now - reportedAtNanos[rank];
    }

    /** Returns whether one 16-bit sequence number follows another, modulo 2^16. */
    static boolean isLater(int sequence, int other) {
        return (short) (sequence - other) > 0;
    }
}
