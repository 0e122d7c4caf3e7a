package frostrelay.counters;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * One balancer's counts in one life of it: each only ever grows. A state-based CRDT, a map of
 * grow-only counters by writer (Shapiro et al. 2011): {@link #merge} takes the larger of each
 * count, and the later life as a whole, so it is commutative, associative and idempotent, and loss,
 * order and doubles do not matter. Immutable.
 *
 * @param startedAtUnixMillis when the writer's life began, as its incarnation without objections
 *     has it
 * @param values by {@link ClusterCounter}
 */
record GrowOnlyCounters(long startedAtUnixMillis, long[] values) {
    /** Of each count on the wire: ten years at three thousand a second. */
    private static final int COUNTER_BYTES = 5;

    private static final int U8_MASK = 0xff;
    static final int COUNTER_COUNT = ClusterCounter.values().length;

    /** Either may be null. */
    static GrowOnlyCounters merge(GrowOnlyCounters a, GrowOnlyCounters b) {
        if (a == null || b == null || a.startedAtUnixMillis != b.startedAtUnixMillis) {
            return a == null || b != null && b.startedAtUnixMillis > a.startedAtUnixMillis ? b : a;
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

    /** Whether it holds counts and nothing torn. */
    static boolean isComplete(ByteBuffer in) {
        return in.hasRemaining() && in.remaining() % COUNTER_BYTES == 0;
    }

    /**
     * What a build that knows fewer left out is 0; what one that knows more added is passed over.
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
