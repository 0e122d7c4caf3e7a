package frostrelay.testbed.cache;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Drops repeats of keyed writes at all caches together, for a while. Safe for threads. */
public final class DeduplicationWindow {
    private record RecentWrite(String receipt, long expiresAtNanos) {}

    private final long windowNanos;
    private final Map<String, RecentWrite> recentWrites = new LinkedHashMap<>();
    private final AtomicLong receipts = new AtomicLong();

    /** {@code windowNanos}: nanoseconds for which a repeat is known. */
    public DeduplicationWindow(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** A receipt that nobody has. */
    public String nextReceipt() {
        return Long.toHexString(0x10000 + receipts.incrementAndGet());
    }

    /**
     * The receipt of the write that this one repeats; null if it is the first, which is noted with
     * its receipt.
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
