package frostrelay.emulator;

import java.util.List;

/**
 * One balancer's connections to caches: counted for each cache, not held one by one. Idle ones are
 * closed a while before the cache would; those to a process that died are gone with it.
 */
final class SimConnectionPool {
    /** Part of the caches' idle time after which the real balancer gives a connection up. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.6;

    private final SystemModel.Connections spec;
    private final List<SimCache> caches;
    private final int[] openConnections;
    private final int[] idleConnections;
    private final int[] incarnations;
    private final long[] lastUsedNanos;
    private int totalConnections;
    private long handshakeCount;

    SimConnectionPool(SystemModel.Connections spec, List<SimCache> caches) {
        this.spec = spec;
        this.caches = caches;
        openConnections = new int[caches.size()];
        idleConnections = new int[caches.size()];
        incarnations = new int[caches.size()];
        lastUsedNanos = new long[caches.size()];
    }

    /** Forgets what a cache has closed or what died with it. */
    private void removeStale(long now, int cacheIndex) {
        if (incarnations[cacheIndex] != caches.get(cacheIndex).incarnation()) {
            incarnations[cacheIndex] = caches.get(cacheIndex).incarnation();
            totalConnections -= openConnections[cacheIndex];
            openConnections[cacheIndex] = 0;
            idleConnections[cacheIndex] = 0;
        } else if (idleConnections[cacheIndex] > 0
                && now - lastUsedNanos[cacheIndex]
                        > spec.idleTimeoutNanos() * IDLE_TIMEOUT_FRACTION) {
            closeIdle(cacheIndex);
        }
    }

    /** Takes an idle connection; false if there is none. */
    boolean tryAcquireIdle(long now, int cacheIndex) {
        removeStale(now, cacheIndex);
        if (idleConnections[cacheIndex] == 0) {
            return false;
        }
        idleConnections[cacheIndex]--;
        lastUsedNanos[cacheIndex] = now;
        return true;
    }

    /** Makes room for one more; false if all are in use. */
    boolean ensureCapacity(long now) {
        for (int cacheIndex = 0;
                totalConnections >= spec.maxPerBalancer() && cacheIndex < openConnections.length;
                cacheIndex++) {
            removeStale(now, cacheIndex);
        }
        if (totalConnections < spec.maxPerBalancer()) {
            return true;
        }
        int leastRecentlyUsed = -1;
        for (int cacheIndex = 0; cacheIndex < openConnections.length; cacheIndex++) {
            if (idleConnections[cacheIndex] > 0
                    && (leastRecentlyUsed < 0
                            || lastUsedNanos[cacheIndex] < lastUsedNanos[leastRecentlyUsed])) {
                leastRecentlyUsed = cacheIndex;
            }
        }
        if (leastRecentlyUsed >= 0) {
            close(leastRecentlyUsed, incarnations[leastRecentlyUsed]);
            idleConnections[leastRecentlyUsed]--;
        }
        return leastRecentlyUsed >= 0;
    }

    /** A handshake begins. */
    void onConnectStarted() {
        handshakeCount++;
        totalConnections++;
    }

    /** It came to nothing. */
    void onConnectFailed() {
        totalConnections--;
    }

    /** It is up and in use; {@code totalConnections} has it already. */
    void onConnected(long now, int cacheIndex) {
        removeStale(now, cacheIndex);
        openConnections[cacheIndex]++;
        lastUsedNanos[cacheIndex] = now;
    }

    /** In whose life at the cache a connection that is taken now stands. */
    int incarnation(int cacheIndex) {
        return incarnations[cacheIndex];
    }

    /** One in use is free again, unless the process that it led to is gone. */
    void release(long now, int cacheIndex, int incarnation) {
        removeStale(now, cacheIndex);
        if (incarnation == incarnations[cacheIndex]) {
            idleConnections[cacheIndex]++;
            lastUsedNanos[cacheIndex] = now;
        }
    }

    /** One in use, or an idle one that the caller takes off, is closed. */
    void close(int cacheIndex, int incarnation) {
        if (incarnation == incarnations[cacheIndex] && openConnections[cacheIndex] > 0) {
            openConnections[cacheIndex]--;
            totalConnections--;
            caches.get(cacheIndex).closeConnection(incarnation);
        }
    }

    void closeIdle(int cacheIndex) {
        for (; idleConnections[cacheIndex] > 0; idleConnections[cacheIndex]--) {
            close(cacheIndex, incarnations[cacheIndex]);
        }
    }

    /** The process that held them is gone. */
    void closeAll() {
        for (int cacheIndex = 0; cacheIndex < openConnections.length; cacheIndex++) {
            for (int remaining = openConnections[cacheIndex]; remaining > 0; remaining--) {
                close(cacheIndex, incarnations[cacheIndex]);
            }
            idleConnections[cacheIndex] = 0;
        }
        totalConnections = 0;
    }

    /** To one cache, in use or idle. */
    int openConnections(long now, int cacheIndex) {
        removeStale(now, cacheIndex);
        return openConnections[cacheIndex];
    }

    /** All, those that come up included. */
    int totalConnections() {
        return totalConnections;
    }

    long handshakeCount() {
        return handshakeCount;
    }
}
