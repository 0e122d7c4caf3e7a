package frostrelay.policy;

import frostrelay.policy.api.ResponseSource;

/**
 * Limits the requests that need the origin, and tracks which keys are probably cached. Prevents an
 * origin from staying overloaded after a fault is over (metastable failure: Bronson et al. 2021,
 * Huang et al. 2022). The cost is that a request for a cached key may be rejected if this balancer
 * has not served the key recently.
 */
final class OriginFetchLimiter {
    /**
     * Factors applied to the admitted fraction for a failed, late or successful origin fetch. The
     * fraction is stable when about one fetch in eight fails, or when half of them are late.
     */
    static final double FAILURE_FACTOR = 0.5;

    static final double LATE_FACTOR = 0.9;
    static final double SUCCESS_FACTOR = 1.1;
    private static final double MIN_ADMITTED = 0.1;

    /**
     * Size of the table of recently served keys, a power of two, and how long a key in it counts as
     * cached.
     */
    private static final int KEY_SLOTS = 4096;

    private static final long CACHED_NANOS = 30_000_000_000L;

    /**
     * Interval in which a server's failures count once, and only if another server failed within it
     * too. A server may fail for a cause of its own, whereas an origin failure affects many.
     */
    private static final long FAILURE_INTERVAL_NANOS = 1_000_000_000L;

    /**
     * Reads before the table of keys is used: it is empty in a new process, while the caches hold
     * most keys.
     */
    private static final int MIN_READS = 1_000;

    /**
     * Weight of a hit in the moving average of slow hits, and also the average from which a server
     * counts as slow itself, so that its late origin fetches are not attributed to the origin.
     */
    private static final double SLOW_HIT_FRACTION = 0.1;

    private double admittedFraction = 1;
    private int readCount;
    private TrackedServer lastFailedServer = new TrackedServer(0);
    private final long[] keys = new long[KEY_SLOTS];
    private final long[] servedAtNanos = new long[KEY_SLOTS];

    /**
     * Returns whether to admit a request that needs the origin. Reads are rejected before writes.
     */
    boolean admits(boolean isWrite, double randomUnit) {
        return randomUnit < (isWrite ? Math.sqrt(admittedFraction) : admittedFraction);
    }

    /** Returns whether origin fetches fail persistently, rather than a single one by chance. */
    boolean isFailing() {
        return admittedFraction < 0.5;
    }

    /**
     * Scales the admitted fraction after a request that needed the origin.
     *
     * @param factor {@link #FAILURE_FACTOR}, {@link #LATE_FACTOR}, {@link #SUCCESS_FACTOR} or 1
     */
    void scaleAdmittedFraction(double factor) {
        admittedFraction = Math.max(MIN_ADMITTED, Math.min(1, admittedFraction * factor));
    }

    /** Returns whether some cache probably holds the key. */
    boolean mayBeCached(long now, long key) {
        int slot = slot(key);
        return readCount < MIN_READS
                || key != 0 && keys[slot] == key && now - servedAtNanos[slot] < CACHED_NANOS;
    }

    /**
     * Records the result of a read. Cache hits do not change the admitted fraction. Late fetches
     * lower it if the cache reports which reads were fetches and its hits are fast: this detects a
     * queue at the origin in which nothing fails.
     */
    void onReadCompleted(
            long now,
            long key,
            TrackedServer server,
            boolean failed,
            ResponseSource source,
            boolean late) {
        readCount = Math.min(MIN_READS, readCount + 1);
        if (failed && now - server.fetchFailedAtNanos >= FAILURE_INTERVAL_NANOS) {
            if (lastFailedServer != server
                    && now - lastFailedServer.fetchFailedAtNanos < FAILURE_INTERVAL_NANOS) {
                scaleAdmittedFraction(FAILURE_FACTOR);
            }
            server.fetchFailedAtNanos = now;
            lastFailedServer = server;
        } else if (!failed && source == ResponseSource.CACHE) {
            server.slowHitFraction += SLOW_HIT_FRACTION * ((late ? 1 : 0) - server.slowHitFraction);
        } else if (!failed && late && source == ResponseSource.ORIGIN) {
            scaleAdmittedFraction(server.slowHitFraction < SLOW_HIT_FRACTION ? LATE_FACTOR : 1);
        } else if (!failed && (source == ResponseSource.ORIGIN || !mayBeCached(now, key))) {
            scaleAdmittedFraction(SUCCESS_FACTOR);
        }
        keys[slot(key)] = failed ? 0 : key;
        servedAtNanos[slot(key)] = now;
    }

    /** Records the result of a write, which invalidates cached values. */
    void onWriteCompleted(long key, boolean failed) {
        scaleAdmittedFraction(failed ? FAILURE_FACTOR : SUCCESS_FACTOR);
        keys[slot(key)] = 0;
    }

    private static int slot(long key) {
        return (int) (SeededRandom.mix(key) & (KEY_SLOTS - 1));
    }
}
