package frostrelay.peers;

import java.util.Arrays;

/**
 * What is known of every balancer of the tier, by its number. Arrays, as an emulated fleet of 2,000
 * holds four million of these rows.
 */
final class Members {
    /** Far enough back to be older than anything; no sum with it overflows. */
    static final long NEVER = Long.MIN_VALUE / 4;

    private static final long MILLISECOND = 1_000_000L;

    /** A hundred times that of quartz. */
    private static final double DRIFT = 0.01;

    private static final double ROUND = 1L << Integer.SIZE;

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

    /**
     * By how much its clock has stood behind this one's at the least, milliseconds, in which life
     * of it, and when that was asked.
     */
    final long[] behindMs;

    final long[] clockLives;
    final long[] clockAt;

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
        behindMs = new long[count];
        clockLives = new long[count];
        clockAt = new long[count];
        Arrays.fill(saidAt, NEVER);
        Arrays.fill(heardAt, NEVER);
    }

    /**
     * For how long word was held up on its way, nanoseconds, over the fastest lately: a process
     * that was stopped finds it in its socket, and it is as old as that. By its writer's own clock,
     * {@code lived} milliseconds into its life; 0 where nothing is known to hold that against.
     * Clocks may part by {@link #DRIFT}.
     */
    long held(long now, int rank, long life, long lived) {
        long behind = now / MILLISECOND - lived;
        if (clockLives[rank] != life) {
            clockLives[rank] = life;
            behindMs[rank] = behind;
        } else {
            long drifted = behindMs[rank] + (long) (DRIFT * (now - clockAt[rank])) / MILLISECOND;
            // Its clock has 32 bits and goes round.
            behind -= Math.round((behind - drifted) / ROUND) * (1L << Integer.SIZE);
            behindMs[rank] = Math.min(drifted, behind);
        }
        clockAt[rank] = now;
        return (behind - behindMs[rank]) * MILLISECOND;
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
