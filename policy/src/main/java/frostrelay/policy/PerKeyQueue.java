package frostrelay.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Serializes requests by key: requests with the same key run one at a time, in arrival order. */
final class PerKeyQueue<T> {
    /** Enqueued requests between two removals of empty queues. */
    private static final int SWEEP_INTERVAL = 256;

    /**
     * The incomplete requests of one key, the running one first, and the end of the key's
     * quarantine.
     */
    private static final class KeyQueue<T> {
        final Deque<T> requests = new ArrayDeque<>();
        long quarantinedUntilNanos = Long.MIN_VALUE;
    }

    private final Map<Long, KeyQueue<T>> queues = new HashMap<>();
    private long quarantineNanos;
    private int enqueuedCount;

    PerKeyQueue(long quarantineNanos) {
        this.quarantineNanos = quarantineNanos;
    }

    void onSettings(long newQuarantineNanos) {
        quarantineNanos = newQuarantineNanos;
    }

    /** Appends a request to its key's queue; returns how many are before it. */
    int enqueue(long now, long key, T request) {
        if (++enqueuedCount % SWEEP_INTERVAL == 0) {
            queues.values()
                    .removeIf(
                            queue ->
                                    queue.requests.isEmpty() && queue.quarantinedUntilNanos <= now);
        }
        KeyQueue<T> queue = queues.computeIfAbsent(key, k -> new KeyQueue<>());
        queue.requests.add(request);
        return queue.requests.size() - 1;
    }

    /**
     * Returns when the request may start: at the end of the key's quarantine, or Long.MAX_VALUE
     * while another one is before it.
     */
    long earliestStartNanos(long key, T request) {
        KeyQueue<T> queue = queues.get(key);
        return queue.requests.peek() == request ? queue.quarantinedUntilNanos : Long.MAX_VALUE;
    }

    /** Blocks the key for the quarantine time after an attempt that may still run at its server. */
    void quarantine(long now, long key) {
        queues.get(key).quarantinedUntilNanos = now + quarantineNanos;
    }

    /**
     * Removes a request that is complete and has no pending attempt; returns the first of the
     * remaining ones, or null.
     */
    T remove(long key, T request) {
        KeyQueue<T> queue = queues.get(key);
        queue.requests.remove(request);
        return queue.requests.peek();
    }
}
