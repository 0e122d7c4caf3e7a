package frostrelay.peers;

/**
 * Bytes sent in the last second, kept to a most. Exact: no second whatever, wherever it begins,
 * holds more than the ceiling; a bucket of tokens would let twice as much through in the second
 * behind a pause. For one thread.
 */
final class Ceiling {
    private static final long SECOND = 1_000_000_000L;

    private final int most;
    private long[] moments = new long[16];
    private int[] sizes = new int[16];
    private int first;
    private int count;
    private int sum;

    Ceiling(int most) {
        this.most = most;
    }

    /** Whether so many bytes may go now; if so they are counted. */
    boolean take(long now, int bytes) {
        if (room(now) < bytes) {
            return false;
        }
        if (count == moments.length) {
            grow();
        }
        int at = (first + count++) % moments.length;
        moments[at] = now;
        sizes[at] = bytes;
        sum += bytes;
        return true;
    }

    /** Bytes in any second at most. */
    int most() {
        return most;
    }

    /** Bytes that may go now. */
    int room(long now) {
        while (count > 0 && now - moments[first] >= SECOND) {
            sum -= sizes[first];
            first = (first + 1) % moments.length;
            count--;
        }
        return most - sum;
    }

    private void grow() {
        long[] longer = new long[2 * count];
        int[] wider = new int[2 * count];
        for (int i = 0; i < count; i++) {
            longer[i] = moments[(first + i) % count];
            wider[i] = sizes[(first + i) % count];
        }
        moments = longer;
        sizes = wider;
        first = 0;
    }
}
