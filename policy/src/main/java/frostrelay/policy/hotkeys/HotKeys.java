package frostrelay.policy.hotkeys;

/**
 * Counts arrivals by key in a small table in which a frequent key displaces a rarer one. Counts are
 * halved regularly, so that recent arrivals weigh more. Not thread-safe.
 */
public final class HotKeys {
    private static final int SLOTS = 256;

    /** Arrivals after which all counts are halved. */
    private static final int HALVING_ARRIVALS = 256;

    /** Time after which all counts are halved if there were more than the minimum of arrivals. */
    private static final long HALVING_INTERVAL_NANOS = 5_000_000_000L;

    /** Arrivals below which no traffic fraction is estimated. */
    private static final int MIN_ARRIVALS = 16;

    /** Arrivals subtracted from a key's count, as a rare key may have them by chance. */
    private static final double CHANCE_ARRIVALS = 2.0;

    private final long[] keys = new long[SLOTS];
    private final int[] counts = new int[SLOTS];
    private int arrivalCount;
    private long halvedAtNanos;

    /**
     * Counts an arrival for the key.
     *
     * @param now current time in nanoseconds
     * @param key the key
     * @param hash hash of the key, uniform in all bits
     */
    public void recordArrival(long now, long key, long hash) {
        int slot = slot(hash);
        if (keys[slot] == key) {
            counts[slot]++;
        } else if (--counts[slot] < 0) {
            keys[slot] = key;
            counts[slot] = 1;
        }
        if (++arrivalCount >= HALVING_ARRIVALS
                || now - halvedAtNanos > HALVING_INTERVAL_NANOS && arrivalCount > MIN_ARRIVALS) {
            halvedAtNanos = now;
            arrivalCount /= 2;
            for (int i = 0; i < SLOTS; i++) {
                counts[i] /= 2;
            }
        }
    }

    /**
     * Returns the key's fraction of recent arrivals, less the arrivals that may occur by chance. It
     * is 0 if there are too few arrivals, or another key occupies the slot.
     *
     * @param key the key
     * @param hash hash of the key, uniform in all bits
     */
    public double trafficFraction(long key, long hash) {
        int slot = slot(hash);
        return keys[slot] != key || arrivalCount < MIN_ARRIVALS
                ? 0
                : (counts[slot] - CHANCE_ARRIVALS) / arrivalCount;
    }

    private static int slot(long hash) {
        return (int) (hash & (SLOTS - 1));
    }
}
