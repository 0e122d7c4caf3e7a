package frostrelay.policy;

import frostrelay.policy.Api.Source;
import frostrelay.policy.HostHealth.Host;

/**
 * How much gets through to the origin behind the caches, and which keys need it. Guards against an
 * origin that stays full after its trouble is over (metastable failure: Bronson and others 2021,
 * Huang and others 2022). Harm: a key that some cache holds but that was not served from here
 * lately may be turned away.
 */
final class Fills {
    /** What a fill does to the share let through; an eighth failed or a half late balance. */
    static final double FAILED = 0.5;

    static final double LATE = 0.9;
    static final double DONE = 1.1;
    private static final double LEAST = 0.1;

    /**
     * Keys served lately that are remembered, a power of two, and how long that tells of a copy.
     */
    private static final int KEYS = 4096;

    private static final long KEPT_NS = 30_000_000_000L;

    /**
     * A host's failures count once in this time, and only beside another host's: guards against one
     * that fails for a cause of its own, whose failures had writes turned away. The origin's show
     * at many hosts.
     */
    private static final long AGAIN_NS = 1_000_000_000L;

    /**
     * Reads before the keys of a new process tell anything: it knows none, and caches hold most.
     */
    private static final int LEARNT = 1_000;

    /**
     * What a hit weighs, and the share of slow ones from which on a host's late fills tell nothing.
     */
    private static final double SLOW_HITS = 0.1;

    private double share = 1;
    private int reads;
    private Host lastFailed = new Host(0);
    private final long[] keys = new long[KEYS];
    private final long[] servedAt = new long[KEYS];

    /** Whether a request that needs the origin goes on; writes last. */
    boolean admits(boolean write, double dice) {
        return dice < (write ? Math.sqrt(share) : share);
    }

    /** Whether fills fail, and not one by chance: a copy of a read may be a second one. */
    boolean failing() {
        return share < 0.5;
    }

    /**
     * A read or write that needed the origin ended; {@code how}: one of the factors above, or 1.
     */
    void ended(double how) {
        share = Math.max(LEAST, Math.min(1, share * how));
    }

    /** Whether some cache should hold the key. */
    boolean kept(long now, long key) {
        int slot = slot(key);
        return reads < LEARNT || key != 0 && keys[slot] == key && now - servedAt[slot] < KEPT_NS;
    }

    /**
     * A read ended; what a cache holds tells nothing of the origin. Late fills tell of its queue
     * where caches say which reads were fills and hits are in time: guards against a queue that
     * nothing fails in.
     */
    void readEnded(long now, long key, Host host, boolean failed, Source source, boolean late) {
        reads = Math.min(LEARNT, reads + 1);
        if (failed && now - host.fillFailedAt >= AGAIN_NS) {
            if (lastFailed != host && now - lastFailed.fillFailedAt < AGAIN_NS) {
                ended(FAILED);
            }
            host.fillFailedAt = now;
            lastFailed = host;
        } else if (!failed && source == Source.CACHE) {
            host.slowHits += SLOW_HITS * ((late ? 1 : 0) - host.slowHits);
        } else if (!failed && late && source == Source.FETCH) {
            ended(host.slowHits < SLOW_HITS ? LATE : 1);
        } else if (!failed && (source == Source.FETCH || !kept(now, key))) {
            ended(DONE);
        }
        keys[slot(key)] = failed ? 0 : key;
        servedAt[slot(key)] = now;
    }

    /** A write ended, and made copies void. */
    void writeEnded(long key, boolean failed) {
        ended(failed ? FAILED : DONE);
        keys[slot(key)] = 0;
    }

    private static int slot(long key) {
        return (int) (Candidates.mix(key) & (KEYS - 1));
    }
}
