package frostrelay.policy.hotkeys;

/**
 * Counts of arrivals by key, in a small table where a rarer key gives way to a commoner one, halved
 * now and then. What a share is good for is decided elsewhere. For one thread.
 */
public final class HotKeys {
    private static final int SLOTS = 256;

    /** Requests, or time, after which all counts are halved, and the least that tell a share. */
    private static final int MAX_COUNTED = 256;

    private static final long WINDOW_NANOS = 5_000_000_000L;
    private static final int MIN_COUNTED = 16;

    private final long[] keys = new long[SLOTS];
    private final int[] counts = new int[SLOTS];
    private int arrivalCount;
    private long halvedAtNanos;

    /** An arrival for the key; {@code hash}: of the key, spread over all bits. */
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
     * The key's part of all arrivals lately, a little less for chance; 0 while too few tell, or
     * others hold its slot.
     */
    public double trafficFraction(long key, long hash) {
        int slot = slot(hash);
        return keys[slot] != key || arrivalCount < MIN_COUNTED
                ? 0
                : (counts[slot] - 2.0) / arrivalCount;
    }

    private static int slot(long hash) {
        return (int) (hash & (SLOTS - 1));
    }
}
