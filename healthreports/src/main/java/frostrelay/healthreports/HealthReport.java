package frostrelay.healthreports;

import frostrelay.gossip.Incarnation;

import java.nio.ByteBuffer;

/**
 * What one balancer says that it saw of one cache lately. One writer for each balancer and cache,
 * so evidence is ordered by the writer's life and its own count, and {@link #newerOf} keeps the
 * later: a register of a last-writer-wins map, whose join is commutative, associative and
 * idempotent. Order, loss and doubles do not matter, and nobody's evidence counts twice: each
 * speaks for itself alone. Immutable.
 *
 * @param rank whose it is, by its number
 * @param incarnation the writer's incarnation
 * @param sequenceNumber how many it wrote of this cache in that life, 16 bits that go round
 * @param serverStart the cache's own start as the writer's list has it, milliseconds, the lower 32
 *     bits
 * @param successes answers lately, at most 255; 0 where its writer finds the cache bad
 * @param failures attempts that were none, likewise; 0 where it does not
 * @param observationBits what those were, a set of {@link AttemptObservation#bit}
 */
public record HealthReport(
        int rank,
        long incarnation,
        int sequenceNumber,
        int serverStart,
        int successes,
        int failures,
        int observationBits) {
    /**
     * On the wire, from its writer; and with the writer's number and life before that, from another
     * who brings it.
     */
    static final int BYTES = 18;

    static final int RELAYED_BYTES = BYTES + 8;

    /** A step of age on the wire, nanoseconds, and the most that fits. */
    static final long AGE_UNIT_NANOS = 100_000_000L;

    private static final int MAX_AGE_UNITS = 255;
    private static final int U16_MASK = 0xffff;
    private static final int U8_MASK = 0xff;

    /** What a piece of the wire holds. */
    record DecodedReport(long cache, HealthReport report, long ageNanos) {}

    /** Reads one, of that writer and life unless it is {@code relayed}. */
    static DecodedReport read(ByteBuffer in, int from, long senderIncarnation, boolean relayed) {
        int rank = relayed ? in.getShort() & U16_MASK : from;
        long reporterIncarnation =
                relayed
                        ? (in.getShort() & (long) U16_MASK) << 32 | in.getInt() & 0xffffffffL
                        : senderIncarnation;
        long cache = in.getLong();
        int sequenceNumber = in.getShort() & U16_MASK;
        int serverStart = in.getInt();
        long ageNanos = (in.get() & U8_MASK) * AGE_UNIT_NANOS;
        return new DecodedReport(
                cache,
                new HealthReport(
                        rank,
                        reporterIncarnation,
                        sequenceNumber,
                        serverStart,
                        in.get() & U8_MASK,
                        in.get() & U8_MASK,
                        in.get() & U8_MASK),
                ageNanos);
    }

    void write(ByteBuffer out, long cache, long ageNanos, boolean relayed) {
        if (relayed) {
            out.putShort((short) rank)
                    .putShort((short) (incarnation >> 32))
                    .putInt((int) incarnation);
        }
        out.putLong(cache)
                .putShort((short) sequenceNumber)
                .putInt(serverStart)
                .put(
                        (byte)
                                Math.min(
                                        MAX_AGE_UNITS,
                                        Math.max(
                                                0,
                                                (ageNanos + AGE_UNIT_NANOS - 1) / AGE_UNIT_NANOS)))
                .put((byte) successes)
                .put((byte) failures)
                .put((byte) observationBits);
    }

    /** Whether its writer finds the cache bad. */
    public boolean isUnhealthy() {
        return failures > successes;
    }

    /**
     * Whether this is later than another of the same writer; where a liar wrote both under one
     * number, the larger.
     */
    boolean isNewerThan(HealthReport other) {
        if (Incarnation.toUnixMillis(incarnation) != Incarnation.toUnixMillis(other.incarnation)) {
            return incarnation > other.incarnation;
        }
        if (sequenceNumber != other.sequenceNumber) {
            return (short) (sequenceNumber - other.sequenceNumber) > 0;
        }
        return packedContent() > other.packedContent();
    }

    private long packedContent() {
        return ((long) serverStart & 0xffffffffL) << 24
                | (long) failures << 16
                | (long) successes << 8
                | observationBits;
    }

    /** The later of two of one writer; either may be null. */
    static HealthReport newerOf(HealthReport a, HealthReport b) {
        return a == null ? b : b == null ? a : b.isNewerThan(a) ? b : a;
    }
}
