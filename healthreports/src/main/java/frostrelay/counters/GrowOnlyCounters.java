package frostrelay.counters;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * One balancer's counters in one incarnation; none ever decreases. A state-based CRDT, the
 * G-Counter of Shapiro et al. 2011: {@link #merge} takes the larger of each counter, and the later
 * incarnation as a whole, so it is commutative, associative and idempotent; loss, reordering and
 * duplication of sections do not affect the result. Immutable.
 *
 * @param startedAtUnixMillis the balancer's start, which is its incarnation without refutations
 * @param values by ordinal of {@link ClusterCounter}
 */
record GrowOnlyCounters(long startedAtUnixMillis, long[] values) {
    /** Size of a counter on the wire; lasts ten years at 3,000 increments a second. */
    private static final int COUNTER_BYTES = 5;

    private static final int U8_MASK = 0xff;
    static final int COUNTER_COUNT = ClusterCounter.values().length;

    /** Returns the least upper bound of both; either may be null. */
    static GrowOnlyCounters merge(GrowOnlyCounters a, GrowOnlyCounters b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        if (a.startedAtUnixMillis != b.startedAtUnixMillis) {
            return b.startedAtUnixMillis > a.startedAtUnixMillis ? b : a;
        }
        long[] larger = new long[COUNTER_COUNT];
        for (int i = 0; i < COUNTER_COUNT; i++) {
            larger[i] = Math.max(a.values[i], b.values[i]);
        }
        return new GrowOnlyCounters(a.startedAtUnixMillis, larger);
    }

    long valueOf(ClusterCounter counter) {
        return values[counter.ordinal()];
    }

    static int encodedBytes() {
        return COUNTER_BYTES * COUNTER_COUNT;
    }

    void write(ByteBuffer out) {
        for (long value : values) {
            out.put((byte) (value >> 32)).putInt((int) value);
        }
    }

    /** Returns whether the section holds at least one counter and no truncated one. */
    static boolean isComplete(ByteBuffer in) {
        return in.hasRemaining() && in.remaining() % COUNTER_BYTES == 0;
    }

    /**
     * Reads counters written by any build: those that an older build lacks are 0, those that a
     * newer build has added are ignored.
     */
    static GrowOnlyCounters read(long startedAtUnixMillis, ByteBuffer in) {
        long[] values = new long[COUNTER_COUNT];
        for (int i = 0; i < COUNTER_COUNT && in.remaining() >= COUNTER_BYTES; i++) {
            values[i] = (long) (in.get() & U8_MASK) << 32 | in.getInt() & 0xffffffffL;
        }
        return new GrowOnlyCounters(startedAtUnixMillis, values);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof GrowOnlyCounters that
                && startedAtUnixMillis == that.startedAtUnixMillis
                && Arrays.equals(values, that.values);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(startedAtUnixMillis) * 31 + Arrays.hashCode(values);
    }

    @Override
    public String toString() {
        return startedAtUnixMillis + Arrays.toString(values);
    }
}
