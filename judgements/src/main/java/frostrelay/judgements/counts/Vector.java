package frostrelay.judgements.counts;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * One balancer's counts in one life of it: each only ever grows. A state-based CRDT, a map of
 * grow-only counters by writer (Shapiro et al. 2011): {@link #join} takes the larger of each count,
 * and the later life as a whole, so it is commutative, associative and idempotent, and loss, order
 * and doubles do not matter. Immutable.
 *
 * @param life when the writer's life began, as its incarnation without objections has it
 * @param values by {@link Count}
 */
record Vector(long life, long[] values) {
    /** Of each count on the wire: ten years at three thousand a second. */
    private static final int BYTES = 5;

    private static final int U8 = 0xff;
    static final int KINDS = Count.values().length;

    /** Either may be null. */
    static Vector join(Vector a, Vector b) {
        if (a == null || b == null || a.life != b.life) {
            return a == null || b != null && b.life > a.life ? b : a;
        }
        long[] larger = new long[KINDS];
        for (int i = 0; i < KINDS; i++) {
            larger[i] = Math.max(a.values[i], b.values[i]);
        }
        return new Vector(a.life, larger);
    }

    long of(Count count) {
        return values[count.ordinal()];
    }

    static int bytes() {
        return BYTES * KINDS;
    }

    void write(ByteBuffer out) {
        for (long value : values) {
            out.put((byte) (value >> 32)).putInt((int) value);
        }
    }

    /** Whether it holds counts and nothing torn. */
    static boolean isWhole(ByteBuffer in) {
        return in.hasRemaining() && in.remaining() % BYTES == 0;
    }

    /**
     * What a build that knows fewer left out is 0; what one that knows more added is passed over.
     */
    static Vector read(long life, ByteBuffer in) {
        long[] values = new long[KINDS];
        for (int i = 0; i < KINDS && in.remaining() >= BYTES; i++) {
            values[i] = (long) (in.get() & U8) << 32 | in.getInt() & 0xffffffffL;
        }
        return new Vector(life, values);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Vector that
                && life == that.life
                && Arrays.equals(values, that.values);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(life) * 31 + Arrays.hashCode(values);
    }

    @Override
    public String toString() {
        return life + Arrays.toString(values);
    }
}
