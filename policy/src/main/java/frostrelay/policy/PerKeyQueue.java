package frostrelay.policy;

import java.util.*;

/**
 * The fifth rule: requests of ordered classes with one key run one at a time, in the order taken.
 */
final class PerKeyQueue<T> {
    /** Requests between two looks for keys that nobody waits for any more. */
    private static final int SWEEP_INTERVAL = 256;

    /**
     * The requests of one key that are not over, the running one first, and when the key's rest
     * ends.
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

    /** Puts a request at the end of its key's line; returns how many stand before it. */
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
     * When the request may go: at the end of the key's rest, or not yet if another is before it.
     */
    long earliestStartNanos(long key, T request) {
        KeyQueue<T> queue = queues.get(key);
        return queue.requests.peek() == request ? queue.quarantinedUntilNanos : Long.MAX_VALUE;
    }

    /** An attempt ended that may go on running at its server. */
    void quarantine(long now, long key) {
        queues.get(key).quarantinedUntilNanos = now + quarantineNanos;
    }

    /**
     * The request is over and none of its attempts is out; returns the first of those left, or
     * null.
     */
    T remove(long key, T request) {
        KeyQueue<T> queue = queues.get(key);
        queue.requests.remove(request);
        return queue.requests.peek();
    }
}
