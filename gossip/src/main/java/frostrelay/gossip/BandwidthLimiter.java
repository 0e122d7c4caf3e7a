package frostrelay.gossip;

/**
 * Bytes sent in the last second, kept to a most. Exact: no second whatever, wherever it begins,
 * holds more than the ceiling; a bucket of tokens would let twice as much through in the second
 * behind a pause. For one thread.
 */
final class BandwidthLimiter {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final int maxBytesPerSecond;
    private long[] sentAtNanos = new long[16];
    private int[] sentBytes = new int[16];
    private int first;
    private int count;
    private int windowBytes;

    BandwidthLimiter(int maxBytesPerSecond) {
        this.maxBytesPerSecond = maxBytesPerSecond;
    }

    /** Whether so many bytes may go now; if so they are counted. */
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

    /** Bytes in any second at most. */
    int maxBytesPerSecond() {
        return maxBytesPerSecond;
    }

    /** Bytes that may go now. */
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
