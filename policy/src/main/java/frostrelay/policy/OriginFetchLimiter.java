package frostrelay.policy;

import frostrelay.policy.ServerHealth.TrackedServer;
import frostrelay.policy.api.ResponseSource;

/**
 * How much gets through to the origin behind the caches, and which keys need it. Guards against an
 * origin that stays full after its trouble is over (metastable failure: Bronson and others 2021,
 * Huang and others 2022). Harm: a key that some cache holds but that was not served from here
 * lately may be turned away.
 */
final class OriginFetchLimiter {
    /** What a fill does to the share let through; an eighth failed or a half late balance. */
    static final double FAILURE_FACTOR = 0.5;

    static final double LATE_FACTOR = 0.9;
    static final double SUCCESS_FACTOR = 1.1;
    private static final double MIN_ADMITTED = 0.1;

    /**
     * Keys served lately that are remembered, a power of two, and how long that tells of a copy.
     */
    private static final int KEY_SLOTS = 4096;

    private static final long CACHED_NANOS = 30_000_000_000L;

    /**
     * A host's failures count once in this time, and only beside another host's: guards against one
     * that fails for a cause of its own, whose failures had writes turned away. The origin's show
     * at many hosts.
     */
    private static final long FAILURE_INTERVAL_NANOS = 1_000_000_000L;

    /**
     * Reads before the keys of a new process tell anything: it knows none, and caches hold most.
     */
    private static final int MIN_READS = 1_000;

    /**
     * What a hit weighs, and the share of slow ones from which on a host's late fills tell nothing.
     */
    private static final double SLOW_HIT_FRACTION = 0.1;

    private double admittedFraction = 1;
    private int readCount;
    private TrackedServer lastFailedServer = new TrackedServer(0);
    private final long[] keys = new long[KEY_SLOTS];
    private final long[] servedAtNanos = new long[KEY_SLOTS];

    /** Whether a request that needs the origin goes on; writes last. */
    boolean admits(boolean isWrite, double randomUnit) {
        return randomUnit < (isWrite ? Math.sqrt(admittedFraction) : admittedFraction);
    }

    /** Whether fills fail, and not one by chance: a copy of a read may be a second one. */
    boolean isFailing() {
        return admittedFraction < 0.5;
    }

    /**
     * A read or write that needed the origin ended; {@code factor}: one of the factors above, or 1.
     */
    void scaleAdmittedFraction(double factor) {
        admittedFraction = Math.max(MIN_ADMITTED, Math.min(1, admittedFraction * factor));
    }

    /** Whether some cache should hold the key. */
    boolean mayBeCached(long now, long key) {
        int slot = slot(key);
        return readCount < MIN_READS
                || key != 0 && keys[slot] == key && now - servedAtNanos[slot] < CACHED_NANOS;
    }

    /**
     * A read ended; what a cache holds tells nothing of the origin. Late fills tell of its queue
     * where caches say which reads were fills and hits are in time: guards against a queue that
     * nothing fails in.
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

    /** A write ended, and made copies void. */
    void onWriteCompleted(long key, boolean failed) {
        scaleAdmittedFraction(failed ? FAILURE_FACTOR : SUCCESS_FACTOR);
        keys[slot(key)] = 0;
    }

    private static int slot(long key) {
        return (int) (RendezvousCandidates.mix(key) & (KEY_SLOTS - 1));
    }
}
