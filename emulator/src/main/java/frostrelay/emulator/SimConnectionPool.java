package frostrelay.emulator;

import java.util.List;

/**
 * A balancer's connections to caches, kept as counts per cache. Idle connections are closed before
 * the cache's own idle time-out; connections to a process that died are dropped.
 */
final class SimConnectionPool {
    /** Fraction of the caches' idle time-out after which the real balancer closes a connection. */
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

    /** Drops connections to a former process of the cache and closes those idle for too long. */
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

    /** Acquires an idle connection; returns false if there is none. */
    boolean tryAcquireIdle(long now, int cacheIndex) {
        removeStale(now, cacheIndex);
        if (idleConnections[cacheIndex] == 0) {
            return false;
        }
        idleConnections[cacheIndex]--;
        lastUsedNanos[cacheIndex] = now;
        return true;
    }

    /** Frees capacity for one more connection; returns false if all are in use. */
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

    /** Counts the start of a handshake. */
    void onConnectStarted() {
        handshakeCount++;
        totalConnections++;
    }

    /** Releases the capacity of a failed handshake. */
    void onConnectFailed() {
        totalConnections--;
    }

    /** Adds an established connection in use, which {@code totalConnections} already includes. */
    void onConnected(long now, int cacheIndex) {
        removeStale(now, cacheIndex);
        openConnections[cacheIndex]++;
        lastUsedNanos[cacheIndex] = now;
    }

    /** Returns the cache incarnation to which a connection acquired now belongs. */
    int incarnation(int cacheIndex) {
        return incarnations[cacheIndex];
    }

    /** Returns a connection to the pool unless its cache process has ended. */
    void release(long now, int cacheIndex, int incarnation) {
        removeStale(now, cacheIndex);
        if (incarnation == incarnations[cacheIndex]) {
            idleConnections[cacheIndex]++;
            lastUsedNanos[cacheIndex] = now;
        }
    }

    /**
     * Closes a connection that is in use, or an idle one that the caller removes from the idle
     * count.
     */
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

    /** Closes all connections, as when the balancer's process ends. */
    void closeAll() {
        for (int cacheIndex = 0; cacheIndex < openConnections.length; cacheIndex++) {
            for (int remaining = openConnections[cacheIndex]; remaining > 0; remaining--) {
                close(cacheIndex, incarnations[cacheIndex]);
            }
            idleConnections[cacheIndex] = 0;
        }
        totalConnections = 0;
    }

    /** Returns the number of connections to a cache, in use or idle. */
    int openConnections(long now, int cacheIndex) {
        removeStale(now, cacheIndex);
        return openConnections[cacheIndex];
    }

    /** Returns the number of all connections, including those in the handshake. */
    int totalConnections() {
        return totalConnections;
    }

    long handshakeCount() {
        return handshakeCount;
    }
}
