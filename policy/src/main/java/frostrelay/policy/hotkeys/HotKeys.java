package frostrelay.policy.hotkeys;

/**
 * Counts arrivals by key in a small table in which a frequent key displaces a rarer one. Counts are
 * halved regularly, so that recent arrivals weigh more. For one thread.
 */
public final class HotKeys {
    private static final int SLOTS = 256;

    /**
     * Arrivals, or time, after which all counts are halved, and the fewest that give a fraction.
     */
    private static final int MAX_COUNTED = 256;

    private static final long WINDOW_NANOS = 5_000_000_000L;
    private static final int MIN_COUNTED = 16;

    /** Arrivals that a key may have by chance. */
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
        if (++arrivalCount >= MAX_COUNTED
                || now - halvedAtNanos > WINDOW_NANOS && arrivalCount > MIN_COUNTED) {
            halvedAtNanos = now;
            arrivalCount /= 2;
            for (int i = 0; i < SLOTS; i++) {
                counts[i] /= 2;
            }
        }
    }

    /**
     * Returns the key's fraction of recent arrivals, reduced a little against chance; 0 if there
     * are too few arrivals, or another key occupies its slot.
     *
     * @param key the key
     * @param hash hash of the key, uniform in all bits
     */
    public double trafficFraction(long key, long hash) {
        int slot = slot(hash);
        return keys[slot] != key || arrivalCount < MIN_COUNTED
                ? 0
                : (counts[slot] - CHANCE_ARRIVALS) / arrivalCount;
    }

    private static int slot(long hash) {
        return (int) (hash & (SLOTS - 1));
    }
}
