package frostrelay.node.client;

import frostrelay.node.time.Clock;

import io.netty.channel.EventLoop;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;

/**
 * A limiter of the number of open client connections, which selects idle connections to evict for
 * new ones. Runs on the event loop.
 */
final class ConnectionLimiter<C extends ConnectionLimiter.LimitedConnection> {
    /** A connection that is subject to the limit. */
    interface LimitedConnection {
        /**
         * Returns the time at which the connection was accepted, became idle, or started or
         * completed the shutdown of its output.
         */
        long stateSinceNanos();

        /** Closes the connection to free capacity for another one. */
        void evict();

        /** Makes the connection reject all requests, because it exceeds the limit. */
        void rejectRequests();
    }

    /** The states of idle connections, in the order in which they are evicted. */
    enum IdleState {
        /**
         * The output has been closed and only the client's close is awaited, so an eviction loses
         * nothing.
         */
        CLOSING,
        /** The client has sent no valid command yet, or has sent an invalid one. */
        UNPROVEN,
        /** The client has sent valid commands only. */
        IDLE
    }

    /**
     * The minimum age at which a connection without a valid command is evicted, because its first
     * command may be in transit.
     */
    private static final long MIN_UNPROVEN_AGE_NANOS = 100 * Clock.NANOS_PER_MILLISECOND;

    /**
     * The limit divided by this number is the number of unproven connections above which they are
     * treated as a flood.
     */
    private static final int UNPROVEN_FLOOD_DIVISOR = 4;

    private final EventLoop loop;
    private final int maxOverflow;
    private final Set<C> openConnections = new LinkedHashSet<>();

    /** The idle connections by state, the longest idle first. */
    private final Map<IdleState, Set<C>> idleByState = new EnumMap<>(IdleState.class);

    /** Connections admitted above the limit for which no other connection has been evicted yet. */
    private final Queue<C> awaitingCapacity = new ArrayDeque<>();

    private int maxConnections;

    /**
     * Creates a limiter without connections.
     *
     * @param maxOverflow the limit on connections above {@code maxConnections} that are admitted to
     *     reject their requests
     */
    ConnectionLimiter(EventLoop loop, int maxConnections, int maxOverflow) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.maxOverflow = maxOverflow;
        for (IdleState idleState : IdleState.values()) {
            idleByState.put(idleState, new LinkedHashSet<>());
        }
    }

    /**
     * Changes the limit. Idle connections above it are evicted when further connections are
     * admitted.
     */
    void setMaxConnections(int newMax) {
        maxConnections = newMax;
    }

    int size() {
        return openConnections.size();
    }

    /** Returns a copy of the set of open connections. */
    List<C> openConnections() {
        return List.copyOf(openConnections);
    }

    /**
     * Admits a new connection. Above the limit, another connection is evicted or the requests of
     * the new one are rejected. Returns false if the new connection must be closed immediately.
     */
    boolean admit(C connection) {
        if (openConnections.size() >= maxConnections + maxOverflow
                && !evictFirst(IdleState.CLOSING, 0)) {
            return false;
        }
        openConnections.add(connection);
        markIdle(connection, IdleState.UNPROVEN);
        if (openConnections.size() > maxConnections) {
            awaitingCapacity.add(connection);
            if (awaitingCapacity.size() == 1) {
                loop.execute(this::evictForOverLimitConnections);
            }
        }
        return true;
    }

    /**
     * Registers a connection as idle. Returns false if it already was, in which case it keeps its
     * position in the eviction order.
     */
    boolean markIdle(C connection, IdleState idleState) {
        return idleByState.get(idleState).add(connection);
    }

    /** Marks a connection as in use, so that it is not evicted. */
    void markBusy(C connection) {
        idleByState.values().forEach(connections -> connections.remove(connection));
    }

    /** Removes a connection that is closed or will be closed within this event loop iteration. */
    void remove(C connection) {
        openConnections.remove(connection);
        markBusy(connection);
    }

    /**
     * Evicts idle connections for those that were admitted above the limit. Runs after the reads of
     * the same event loop iteration, so that a connection whose command has just been read is no
     * longer idle; evicting it would lose the command.
     */
    private void evictForOverLimitConnections() {
        for (C connection = awaitingCapacity.poll();
                connection != null;
                connection = awaitingCapacity.poll()) {
            if (openConnections.contains(connection)
                    && openConnections.size() > maxConnections
                    && !evictAny()) {
                connection.rejectRequests();
            }
        }
    }

    private boolean evictAny() {
        // In a flood all unproven connections are young. Without the lower minimum age, idle
        // connections of proven clients would be evicted instead.
        long minAgeNanos =
                idleByState.get(IdleState.UNPROVEN).size() > maxConnections / UNPROVEN_FLOOD_DIVISOR
                        ? 0
                        : MIN_UNPROVEN_AGE_NANOS;
        return evictFirst(IdleState.CLOSING, 0)
                || evictFirst(IdleState.UNPROVEN, minAgeNanos)
                || evictFirst(IdleState.IDLE, 0);
    }

    private boolean evictFirst(IdleState idleState, long minAgeNanos) {
        Iterator<C> longestIdle = idleByState.get(idleState).iterator();
        if (!longestIdle.hasNext()) {
            return false;
        }
        C evicted = longestIdle.next();
        if (Clock.now() - evicted.stateSinceNanos() < minAgeNanos) {
            return false;
        }
        evicted.evict();
        return true;
    }
}
