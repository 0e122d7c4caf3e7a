package frostrelay.testbed.cache;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Detects repeated writes with the same idempotency key across all caches within a time window.
 * Thread-safe.
 */
public final class DeduplicationWindow {
    private record RecentWrite(String receipt, long expiresAtNanos) {}

    private final long windowNanos;
    private final Map<String, RecentWrite> recentWrites = new LinkedHashMap<>();
    private final AtomicLong receipts = new AtomicLong();

    /** Creates a window of a duration in nanoseconds. */
    public DeduplicationWindow(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Returns a new unique receipt. */
    public String nextReceipt() {
        return Long.toHexString(0x10000 + receipts.incrementAndGet());
    }

    /**
     * Returns the receipt of the earlier write with this key, or records the given receipt and
     * returns null if there is none.
     */
    public synchronized String findOrRecord(long now, String key, String receipt) {
        for (Iterator<RecentWrite> oldest = recentWrites.values().iterator();
                oldest.hasNext() && oldest.next().expiresAtNanos < now; ) {
            oldest.remove();
        }
        RecentWrite first =
                recentWrites.putIfAbsent(key, new RecentWrite(receipt, now + windowNanos));
        return first == null ? null : first.receipt;
    }
}
