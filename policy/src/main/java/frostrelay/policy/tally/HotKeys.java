package frostrelay.policy.tally;

/**
 * Counts of arrivals by key, in a small table where a rarer key gives way to a commoner one, halved
 * now and then. What a share is good for is decided elsewhere. For one thread.
 */
public final class HotKeys {
    private static final int SLOTS = 256;

    /** Requests, or time, after which all counts are halved, and the least that tell a share. */
    private static final int WINDOW = 256;

    private static final long WINDOW_NS = 5_000_000_000L;
    private static final int LEAST = 16;

    private final long[] keys = new long[SLOTS];
    private final int[] counts = new int[SLOTS];
    private int counted;
    private long halved;

    /** An arrival for the key; {@code hash}: of the key, spread over all bits. */
    public void count(long now, long key, long hash) {
        int slot = slot(hash);
        if (keys[slot] == key) {
            counts[slot]++;
        } else if (--counts[slot] < 0) {
            keys[slot] = key;
            counts[slot] = 1;
        }
        if (++counted >= WINDOW || now - halved > WINDOW_NS && counted > LEAST) {
            halved = now;
            counted /= 2;
            for (int i = 0; i < SLOTS; i++) {
                counts[i] /= 2;
            }
        }
    }

    /**
     * The key's part of all arrivals lately, a little less for chance; 0 while too few tell, or
     * others hold its slot.
     */
    public double share(long key, long hash) {
        int slot = slot(hash);
        return keys[slot] != key || counted < LEAST ? 0 : (counts[slot] - 2.0) / counted;
    }

    private static int slot(long hash) {
        return (int) (hash & (SLOTS - 1));
    }
}
