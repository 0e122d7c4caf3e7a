package frostrelay.node.upstream;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A limit on the total number of open connections to cache servers. At the limit, the least
 * recently used idle connection is retired before a new connection is opened. Runs on the event
 * loop.
 */
final class ConnectionLimit {
    /** All idle connections, the least recently used first. */
    private final Set<UpstreamConnection> idleConnections = new LinkedHashSet<>();

    private int maxConnections;
    private int connectionCount;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Changes the limit and retires idle connections above it. Connections in use stay open. */
    void setMaxConnections(int newMax) {
        maxConnections = newMax;
        while (connectionCount > maxConnections && evictLeastRecentlyUsed()) {
            // Each iteration retires one connection.
        }
    }

    /**
     * Returns whether a connection may be opened; retires an idle connection if that is necessary.
     */
    boolean ensureCapacity() {
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

    /** Retires all connections that have been idle since the given time or longer. */
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

    /** Must be called once for each connection that was opened. */
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
