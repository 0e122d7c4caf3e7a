package frostrelay.judgements;

import frostrelay.peers.Incarnation;

import java.nio.ByteBuffer;

/**
 * What one balancer says that it saw of one cache lately. One writer for each balancer and cache,
 * so evidence is ordered by the writer's life and its own count, and {@link #join} keeps the later:
 * a register of a last-writer-wins map, whose join is commutative, associative and idempotent.
 * Order, loss and doubles do not matter, and nobody's evidence counts twice: each speaks for itself
 * alone. Immutable.
 *
 * @param rank whose it is, by its number
 * @param life the writer's incarnation
 * @param seq how many it wrote of this cache in that life, 16 bits that go round
 * @param boot the cache's own start as the writer's list has it, milliseconds, the lower 32 bits
 * @param good answers lately, at most 255; 0 where its writer finds the cache bad
 * @param bad attempts that were none, likewise; 0 where it does not
 * @param kinds what those were, a set of {@link Seen#bit}
 */
public record Evidence(int rank, long life, int seq, int boot, int good, int bad, int kinds) {
    /**
     * On the wire, from its writer; and with the writer's number and life before that, from another
     * who brings it.
     */
    static final int BYTES = 18;

    static final int BROUGHT_BYTES = BYTES + 8;

    /** A step of age on the wire, nanoseconds, and the most that fits. */
    static final long AGE_UNIT = 100_000_000L;

    private static final int MOST_AGE = 255;
    private static final int U16 = 0xffff;
    private static final int U8 = 0xff;

    /** What a piece of the wire holds. */
    record Read(long cache, Evidence evidence, long age) {}

    /** Reads one, of that writer and life unless it is {@code brought}. */
    static Read read(ByteBuffer in, int from, long life, boolean brought) {
        int rank = brought ? in.getShort() & U16 : from;
        long of = brought ? (in.getShort() & (long) U16) << 32 | in.getInt() & 0xffffffffL : life;
        long cache = in.getLong();
        int seq = in.getShort() & U16;
        int boot = in.getInt();
        long age = (in.get() & U8) * AGE_UNIT;
        return new Read(
                cache,
                new Evidence(rank, of, seq, boot, in.get() & U8, in.get() & U8, in.get() & U8),
                age);
    }

    void write(ByteBuffer out, long cache, long age, boolean brought) {
        if (brought) {
            out.putShort((short) rank).putShort((short) (life >> 32)).putInt((int) life);
        }
        out.putLong(cache)
                .putShort((short) seq)
                .putInt(boot)
                .put((byte) Math.min(MOST_AGE, Math.max(0, (age + AGE_UNIT - 1) / AGE_UNIT)))
                .put((byte) good)
                .put((byte) bad)
                .put((byte) kinds);
    }

    /** Whether its writer finds the cache bad. */
    public boolean isBad() {
        return bad > good;
    }

    /**
     * Whether this is later than another of the same writer; where a liar wrote both under one
     * number, the larger.
     */
    boolean later(Evidence other) {
        if (Incarnation.unixMs(life) != Incarnation.unixMs(other.life)) {
            return life > other.life;
        }
        if (seq != other.seq) {
            return (short) (seq - other.seq) > 0;
        }
        return content() > other.content();
    }

    private long content() {
        return ((long) boot & 0xffffffffL) << 24 | (long) bad << 16 | (long) good << 8 | kinds;
    }

    /** The later of two of one writer; either may be null. */
    static Evidence join(Evidence a, Evidence b) {
        return a == null ? b : b == null ? a : b.later(a) ? b : a;
    }
}
