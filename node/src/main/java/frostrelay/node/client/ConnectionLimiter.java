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
 * Limits how many clients' connections are open, and decides which quiet one is closed to make room
 * for another. Runs on the event loop.
 */
final class ConnectionLimiter<C extends ConnectionLimiter.LimitedConnection> {
    /** A connection as far as the limiter deals with it. */
    interface LimitedConnection {
        /** Since when it has been as it is: when it came, fell idle, or began to end. */
        long stateSinceNanos();

        /** It has to go, to make room. */
        void evict();

        /** There is no room for it: all it may get is a refusal. */
        void rejectRequests();
    }

    /**
     * Connections on which nothing is going on, by what they are; in the order in which they make
     * room.
     */
    enum IdleState {
        /**
         * This end's output has ended, and only the client's end is waited for: there is nothing on
         * them to lose.
         */
        CLOSING,
        /** They never brought a good command, or brought a bad one. */
        UNPROVEN,
        /** They were served before. */
        IDLE
    }

    /**
     * No connection that has yet to speak is closed sooner to make room: its command may be on its
     * way.
     */
    private static final long MIN_UNPROVEN_AGE_NANOS = 100 * Clock.NANOS_PER_MILLISECOND;

    /** So large a part of all connections without a good command is a crowd. */
    private static final int UNPROVEN_FLOOD_DIVISOR = 4;

    private final EventLoop loop;
    private final int maxOverflow;
    private final Set<C> openConnections = new LinkedHashSet<>();

    /** Each in the order in which they fell quiet, the first for the longest time. */
    private final Map<IdleState, Set<C>> idleByState = new EnumMap<>(IdleState.class);

    /** Those that came while there was no room, and have not been given any yet. */
    private final Queue<C> awaitingCapacity = new ArrayDeque<>();

    private int maxConnections;

    /**
     * {@code maxOverflow}: connections over {@code maxConnections} that are kept just to be
     * refused.
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
     * From now on so many connections are held at most; idle ones make room as further ones come.
     */
    void setMaxConnections(int newMax) {
        maxConnections = newMax;
    }

    int size() {
        return openConnections.size();
    }

    /** All that are open now, safe against changes. */
    List<C> openConnections() {
        return List.copyOf(openConnections);
    }

    /**
     * Takes a new connection, for which room is looked for if there is none; false if it cannot
     * even be refused.
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
                loop.execute(this::evictForWaiting);
            }
        }
        return true;
    }

    /**
     * Nothing is going on on a connection; false if that was so before, as it then keeps its place.
     */
    boolean markIdle(C connection, IdleState idleState) {
        return idleByState.get(idleState).add(connection);
    }

    /** Something is going on on a connection, or may be. */
    void markBusy(C connection) {
        idleByState.values().forEach(connections -> connections.remove(connection));
    }

    /** A connection is not open any more, or will not be within this turn of the loop. */
    void remove(C connection) {
        openConnections.remove(connection);
        markBusy(connection);
    }

    /**
     * Finds room for those that came without any. It runs behind the reads of the same turn of the
     * loop: a connection whose command was waiting to be read is not idle any more, and would be
     * lost by a close.
     */
    private void evictForWaiting() {
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
        // In a crowd that says nothing all are young: good idle connections must not make room for
        // it.
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
