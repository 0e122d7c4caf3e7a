package frostrelay.healthreports;

import frostrelay.gossip.Incarnation;

import java.nio.ByteBuffer;

/**
 * Recent observations of one cache by one balancer, the reporter. Only the reporter writes reports
 * under its rank, so its reports on a cache are ordered by the reporter's incarnation and sequence
 * number, and {@link #newerOf} keeps the later: a register of a last-writer-wins map, whose merge
 * is commutative, associative and idempotent. Reordering, loss and duplication do not affect the
 * result. Immutable.
 *
 * @param rank the reporter's
 * @param incarnation the reporter's
 * @param sequenceNumber reports written about this cache in that incarnation, modulo 2^16
 * @param serverStart the cache's start time as the reporter's endpoint list has it, the lower 32
 *     bits of Unix milliseconds
 * @param successes recent answers, at most 255; 0 if the reporter finds the cache unhealthy
 * @param failures recent failed or unanswered attempts, at most 255; 0 if it finds it healthy
 * @param observationBits kinds of those failures, as a set of {@link AttemptObservation#bit}
 */
public record HealthReport(
        int rank,
        long incarnation,
        int sequenceNumber,
        int serverStart,
        int successes,
        int failures,
        int observationBits) {
    /** Size of a report that its reporter sends itself. */
    static final int BYTES = 18;

    /** Size of a relayed report, which begins with the reporter's rank and incarnation. */
    static final int RELAYED_BYTES = BYTES + 8;

    /** Unit of the age on the wire. */
    static final long AGE_UNIT_NANOS = 100_000_000L;

    private static final int MAX_AGE_UNITS = 255;

    /** The largest count of successes or failures. */
    static final int MAX_COUNT = 255;

    static final int U16_MASK = 0xffff;
    private static final int U8_MASK = 0xff;

    /** A report as received: its cache, and its age when the datagram was sent. */
    record DecodedReport(long cache, HealthReport report, long ageNanos) {}

    /** Reads one report; the sender is the reporter unless it is {@code relayed}. */
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

    /** Writes {@link #BYTES}, or {@link #RELAYED_BYTES} if {@code relayed}. */
    void write(ByteBuffer out, long cache, long ageNanos, boolean relayed) {
        if (relayed) {
            out.putShort((short) rank)
                    .putShort((short) (incarnation >> 32))
                    .putInt((int) incarnation);
        }
        out.putLong(cache)
                .putShort((short) sequenceNumber)
                .putInt(serverStart)
                .put((byte) toAgeUnits(ageNanos))
                .put((byte) successes)
                .put((byte) failures)
                .put((byte) observationBits);
    }

    /** Converts an age to wire units, rounding up so that a report never seems newer than it is. */
    private static long toAgeUnits(long ageNanos) {
        long units = (ageNanos + AGE_UNIT_NANOS - 1) / AGE_UNIT_NANOS;
        return Math.min(MAX_AGE_UNITS, Math.max(0, units));
    }

    /** Returns whether the reporter finds the cache unhealthy. */
    public boolean isUnhealthy() {
        return failures > successes;
    }

    /**
     * Returns whether this is later than another report of the same reporter. Of two different
     * reports under one sequence number, which only a faulty peer sends, the larger content wins.
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

    /** Returns the later of two reports of one reporter; either may be null. */
    static HealthReport newerOf(HealthReport a, HealthReport b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return b.isNewerThan(a) ? b : a;
    }
}
