package frostrelay.rig.cache;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Drops repeats of keyed writes at all caches together, for a while. Safe for threads. */
public final class RepeatFilter {
    private record Kept(String receipt, long until) {}

    private final long window;
    private final Map<String, Kept> kept = new LinkedHashMap<>();
    private final AtomicLong receipts = new AtomicLong();

    /** {@code window}: nanoseconds for which a repeat is known. */
    public RepeatFilter(long window) {
        this.window = window;
    }

    /** A receipt that nobody has. */
    public String receipt() {
        return Long.toHexString(0x10000 + receipts.incrementAndGet());
    }

    /**
     * The receipt of the write that this one repeats; null if it is the first, which is noted with
     * its receipt.
     */
    public synchronized String repeats(long now, String key, String receipt) {
        for (Iterator<Kept> oldest = kept.values().iterator();
                oldest.hasNext() && oldest.next().until < now; ) {
            oldest.remove();
        }
        Kept first = kept.putIfAbsent(key, new Kept(receipt, now + window));
        return first == null ? null : first.receipt;
    }
}
