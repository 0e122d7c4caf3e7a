package frostrelay.node.upstream;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Limits how many connections to all cache servers together are open, and retires the least
 * recently used idle one where another is needed. Runs on the event loop.
 */
final class ConnectionLimit {
    /** All idle connections, the least recently used first. */
    private final Set<UpstreamConnection> idleConnections = new LinkedHashSet<>();

    private int maxConnections;
    private int connectionCount;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Changes the limit; idle connections above it are retired, those in use stay. */
    void setMaxConnections(int newMax) {
        maxConnections = newMax;
        while (connectionCount > maxConnections && evictLeastRecentlyUsed()) {
            // Each turn retires one connection.
        }
    }

    /** Whether a connection may be opened, for which an idle one is retired if needed. */
    boolean makeCapacity() {
        return connectionCount < maxConnections || evictLeastRecentlyUsed();
    }

    private boolean evictLeastRecentlyUsed() {
        Iterator<UpstreamConnection> leastRecentlyUsed = idleConnections.iterator();
        if (!leastRecentlyUsed.hasNext()) {
            return false;
        }
        leastRecentlyUsed.next().retire();
        return true;
    }

    /** Retires all connections that have been idle since this moment or longer. */
    void retireIdleSince(long idleCutoffNanos) {
        for (UpstreamConnection connection : List.copyOf(idleConnections)) {
            if (connection.idleSinceNanos() > idleCutoffNanos) {
                break;
            }
            connection.retire();
        }
    }

    void onOpened(PooledServer server) {
        connectionCount++;
        server.connectionCount++;
    }

    /** To be called once for each connection that was opened. */
    void onClosed(PooledServer server) {
        connectionCount--;
        server.connectionCount--;
    }

    void addIdle(UpstreamConnection connection, PooledServer server) {
        server.idleConnections.addLast(connection);
        idleConnections.add(connection);
    }

    void removeIdle(UpstreamConnection connection, PooledServer server) {
        server.idleConnections.remove(connection);
        idleConnections.remove(connection);
    }

    int connectionCount() {
        return connectionCount;
    }

    int idleCount() {
        return idleConnections.size();
    }
}
