package frostrelay.policy;

import frostrelay.policy.api.ResponseSource;

/**
 * Limits the requests that reach the origin behind the caches, and remembers which keys need it.
 * Guards against an origin that stays overloaded after a fault is over (metastable failure: Bronson
 * et al. 2021, Huang et al. 2022). Cost: a request for a key that some cache holds, but that this
 * balancer has not served recently, may be rejected.
 */
final class OriginFetchLimiter {
    /**
     * Factors of the admitted fraction for a failed, late or successful origin fetch: one in eight
     * failed, or half of them late, balance the successful ones.
     */
    static final double FAILURE_FACTOR = 0.5;

    static final double LATE_FACTOR = 0.9;
    static final double SUCCESS_FACTOR = 1.1;
    private static final double MIN_ADMITTED = 0.1;

    /**
     * Recently served keys that are remembered, a power of two, and how long a key then counts as
     * cached.
     */
    private static final int KEY_SLOTS = 4096;

    private static final long CACHED_NANOS = 30_000_000_000L;

    /**
     * A server's failures count once in this time, and only beside another server's: guards against
     * a server that fails for a cause of its own. The origin's failures show at many servers.
     */
    private static final long FAILURE_INTERVAL_NANOS = 1_000_000_000L;

    /**
     * Reads before the remembered keys are used: a new process knows none, and caches hold most.
     */
    private static final int MIN_READS = 1_000;

    /**
     * Weight of a hit in the moving average of slow hits, and the average above which a server's
     * late origin fetches say nothing about the origin.
     */
    private static final double SLOW_HIT_FRACTION = 0.1;

    private double admittedFraction = 1;
    private int readCount;
    private TrackedServer lastFailedServer = new TrackedServer(0);
    private final long[] keys = new long[KEY_SLOTS];
    private final long[] servedAtNanos = new long[KEY_SLOTS];

    /** Returns whether a request that needs the origin is admitted; writes are rejected last. */
    boolean admits(boolean isWrite, double randomUnit) {
        return randomUnit < (isWrite ? Math.sqrt(admittedFraction) : admittedFraction);
    }

    /** Returns whether origin fetches fail, and not a single one by chance. */
    boolean isFailing() {
        return admittedFraction < 0.5;
    }

    /**
     * Scales the admitted fraction after a request that needed the origin, by one of the factors
     * above or 1.
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
     * A read ended. Cache hits say nothing about the origin. Late fetches indicate a queue there if
     * caches report which reads were fetches and their hits are fast: guards against a queue in
     * which nothing fails.
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

    /** A write ended, and invalidated cached values. */
    void onWriteCompleted(long key, boolean failed) {
        scaleAdmittedFraction(failed ? FAILURE_FACTOR : SUCCESS_FACTOR);
        keys[slot(key)] = 0;
    }

    private static int slot(long key) {
        return (int) (SeededRandom.mix(key) & (KEY_SLOTS - 1));
    }
}
