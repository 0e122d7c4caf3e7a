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
 * Limits how many clients' connections are open, and chooses the idle one that is evicted for
 * another. Runs on the event loop.
 */
final class ConnectionLimiter<C extends ConnectionLimiter.LimitedConnection> {
    /** What the limiter needs of a connection. */
    interface LimitedConnection {
        /** When it was accepted, became idle, or started to close its output. */
        long stateSinceNanos();

        /** Closes it, as its place is needed. */
        void evict();

        /** It exceeds the limit: its requests are to be rejected. */
        void rejectRequests();
    }

    /** The kinds of idle connections, in the order in which they are evicted. */
    enum IdleState {
        /** Their output is closed and only the client's end is awaited: nothing can be lost. */
        CLOSING,
        /** They have sent no valid command, or an invalid one. */
        UNPROVEN,
        /** They have been served before. */
        IDLE
    }

    /**
     * A connection without a command is not evicted before this age: its first command may be on
     * its way.
     */
    private static final long MIN_UNPROVEN_AGE_NANOS = 100 * Clock.NANOS_PER_MILLISECOND;

    /** More unproven connections than the limit divided by this count as a flood. */
    private static final int UNPROVEN_FLOOD_DIVISOR = 4;

    private final EventLoop loop;
    private final int maxOverflow;
    private final Set<C> openConnections = new LinkedHashSet<>();

    /** Each in the order in which they became idle, the longest idle first. */
    private final Map<IdleState, Set<C>> idleByState = new EnumMap<>(IdleState.class);

    /** Connections that were accepted above the limit, for which none has been evicted yet. */
    private final Queue<C> awaitingCapacity = new ArrayDeque<>();

    private int maxConnections;

    /**
     * Creates a limiter without connections.
     *
     * @param maxOverflow connections above {@code maxConnections} that are admitted to reject their
     *     requests
     */
    ConnectionLimiter(EventLoop loop, int maxConnections, int maxOverflow) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.maxOverflow = maxOverflow;
        for (IdleState idleState : IdleState.values()) {
            idleByState.put(idleState, new LinkedHashSet<>());
        }
    }

    /** Changes the limit; idle connections above it are evicted as further ones are admitted. */
    void setMaxConnections(int newMax) {
        maxConnections = newMax;
    }

    int size() {
        return openConnections.size();
    }

    /** A copy of the connections that are open now. */
    List<C> openConnections() {
        return List.copyOf(openConnections);
    }

    /**
     * Admits a new connection and, above the limit, evicts another one or has its requests
     * rejected; false if it must be closed at once.
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

    /** Registers a connection as idle; false if it was already, as it then keeps its place. */
    boolean markIdle(C connection, IdleState idleState) {
        return idleByState.get(idleState).add(connection);
    }

    /** A connection is in use, or may be. */
    void markBusy(C connection) {
        idleByState.values().forEach(connections -> connections.remove(connection));
    }

    /** A connection is closed, or will be within this turn of the loop. */
    void remove(C connection) {
        openConnections.remove(connection);
        markBusy(connection);
    }

    /**
     * Evicts connections for those that were admitted above the limit. Runs after the reads of the
     * same turn of the loop: a connection whose command was waiting to be read is not idle any
     * more, and closing it would lose the command.
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
        // In a flood of unproven connections all are young: idle connections of proven clients must
        // not be evicted for it.
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
