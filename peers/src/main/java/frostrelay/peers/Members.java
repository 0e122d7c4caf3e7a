package frostrelay.peers;

import java.util.Arrays;

/**
 * What is known of every balancer of the tier, by its number. Arrays, as an emulated fleet of 2,000 holds four million of
 * these rows.
 */
final class Members {
    /** Far enough back to be older than anything; no sum with it overflows. */
    static final long NEVER = Long.MIN_VALUE / 4;

    final int count;
    final byte[] states;
    final long[] incarnations;
    /** How often its stamp had changed in that life. */
    final int[] sequences;
    final int[] refs;
    /** When it said so itself, whoever brought it here. */
    final long[] saidAt;
    /** When a datagram of its own came last. */
    final long[] heardAt;
    /** Periods in a row in which it answered nobody's probe that began here. */
    final byte[] doubts;

    Members(int count) {
        this.count = count;
        states = new byte[count];
        incarnations = new long[count];
        sequences = new int[count];
        refs = new int[count];
        saidAt = new long[count];
        heardAt = new long[count];
        doubts = new byte[count];
        Arrays.fill(saidAt, NEVER);
        Arrays.fill(heardAt, NEVER);
    }

    State state(int rank) {
        return STATES[states[rank]];
    }

    void state(int rank, State state) {
        states[rank] = (byte) state.ordinal();
    }

    private static final State[] STATES = State.values();

    /** Whether one stamp's place in a life is behind another's; places are 16 bits and go round. */
    static boolean later(int sequence, int other) {
        return (short) (sequence - other) > 0;
    }
}
