package frostrelay.gossip;

/**
 * A limiter of the bytes sent per second, with an exact sliding window: no interval of one second
 * exceeds the limit. A token bucket would allow twice the limit in the second after a pause. Not
 * thread-safe.
 */
final class BandwidthLimiter {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private static final int INITIAL_CAPACITY = 16;

    private final int maxBytesPerSecond;

    /** Ring buffers, one element for each send within the window. */
    private long[] sentAtNanos = new long[INITIAL_CAPACITY];

    private int[] sentBytes = new int[INITIAL_CAPACITY];
    private int first;
    private int count;
    private int windowBytes;

    BandwidthLimiter(int maxBytesPerSecond) {
        this.maxBytesPerSecond = maxBytesPerSecond;
    }

    /** Counts {@code bytes} as sent if the limit allows them now; returns whether it does. */
    boolean tryConsume(long now, int bytes) {
        if (availableBytes(now) < bytes) {
            return false;
        }
        if (count == sentAtNanos.length) {
            grow();
        }
        int index = (first + count++) % sentAtNanos.length;
        sentAtNanos[index] = now;
        sentBytes[index] = bytes;
        windowBytes += bytes;
        return true;
    }

    int maxBytesPerSecond() {
        return maxBytesPerSecond;
    }

    /** Returns the number of bytes that may be sent now. */
    int availableBytes(long now) {
        while (count > 0 && now - sentAtNanos[first] >= WINDOW_NANOS) {
            windowBytes -= sentBytes[first];
            first = (first + 1) % sentAtNanos.length;
            count--;
        }
        return maxBytesPerSecond - windowBytes;
    }

    private void grow() {
        long[] grownTimes = new long[2 * count];
        int[] grownSizes = new int[2 * count];
        for (int i = 0; i < count; i++) {
            grownTimes[i] = sentAtNanos[(first + i) % count];
            grownSizes[i] = sentBytes[(first + i) % count];
        }
        sentAtNanos = grownTimes;
        sentBytes = grownSizes;
        first = 0;
    }
}
