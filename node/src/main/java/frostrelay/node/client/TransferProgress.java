package frostrelay.node.client;

import frostrelay.node.time.Clock;

/**
 * The progress of one end of a transfer: a client that takes the bytes of its responses, or a cache
 * that gives those of a long value. An end that moves at the least pace or faster is on pace as
 * long as its bytes come; a slower one falls behind although it moves. All times are clock readings
 * in nanoseconds. Reads no clock and does no I/O.
 */
final class TransferProgress {
    /** The least pace: the shortest long value, of 64 KiB, within 16 s. */
    private static final long MIN_BYTES_PER_SECOND = 4 * 1024;

    /** The time of the last bytes, or of the last start. */
    private long lastBytesNanos;

    /** The time until which the bytes so far suffice for the least pace; never in the future. */
    private long onPaceUntilNanos;

    TransferProgress(long now) {
        start(now);
    }

    /** Starts anew, because from now on this end is waited for. */
    void start(long now) {
        lastBytesNanos = now;
        onPaceUntilNanos = now;
    }

    /** Records bytes that this end has taken or given. */
    void onBytes(long now, long bytes) {
        lastBytesNanos = now;
        long creditNanos = bytes * Clock.NANOS_PER_SECOND / MIN_BYTES_PER_SECOND;
        onPaceUntilNanos = Math.min(now, onPaceUntilNanos + creditNanos);
    }

    /** Returns the nanoseconds since the last bytes or the start. */
    long silentNanos(long now) {
        return now - lastBytesNanos;
    }

    /** Returns by how many nanoseconds this end is behind the least pace; 0 if it is on pace. */
    long behindNanos(long now) {
        return now - onPaceUntilNanos;
    }
}
