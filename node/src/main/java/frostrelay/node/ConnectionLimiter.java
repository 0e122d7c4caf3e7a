package frostrelay.node;

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
final class ConnectionLimiter<C extends ConnectionLimiter.Limited> {
    /** A connection as far as the limiter deals with it. */
    interface Limited {
        /** Since when it has been as it is: when it came, fell idle, or began to end. */
        long since();

        /** It has to go, to make room. */
        void evict();

        /** There is no room for it: all it may get is a refusal. */
        void refuseAll();
    }

    /**
     * Connections on which nothing is going on, by what they are; in the order in which they make
     * room.
     */
    enum Quiet {
        /**
         * This end's output has ended, and only the client's end is waited for: there is nothing on
         * them to lose.
         */
        ENDING,
        /** They never brought a good command, or brought a bad one. */
        UNPROVEN,
        /** They were served before. */
        IDLE
    }

    /**
     * No connection that has yet to speak is closed sooner to make room: its command may be on its
     * way.
     */
    private static final long YOUNG_NS = 100 * Clock.MILLISECOND;

    /** So large a part of all connections without a good command is a crowd. */
    private static final int CROWD_PART = 4;

    private final EventLoop loop;
    private final int surplus;
    private final Set<C> open = new LinkedHashSet<>();

    /** Each in the order in which they fell quiet, the first for the longest time. */
    private final Map<Quiet, Set<C>> quiet = new EnumMap<>(Quiet.class);

    /** Those that came while there was no room, and have not been given any yet. */
    private final Queue<C> waiting = new ArrayDeque<>();

    private int most;

    /** {@code surplus}: connections over {@code most} that are kept just to be refused. */
    ConnectionLimiter(EventLoop loop, int most, int surplus) {
        this.loop = loop;
        this.most = most;
        this.surplus = surplus;
        for (Quiet kind : Quiet.values()) {
            quiet.put(kind, new LinkedHashSet<>());
        }
    }

    /**
     * From now on so many connections are held at most; idle ones make room as further ones come.
     */
    void limit(int fresh) {
        most = fresh;
    }

    int size() {
        return open.size();
    }

    /** All that are open now, safe against changes. */
    List<C> all() {
        return List.copyOf(open);
    }

    /**
     * Takes a new connection, for which room is looked for if there is none; false if it cannot
     * even be refused.
     */
    boolean admit(C fresh) {
        if (open.size() >= most + surplus && !evictFirst(Quiet.ENDING, 0)) {
            return false;
        }
        open.add(fresh);
        becomesQuiet(fresh, Quiet.UNPROVEN);
        if (open.size() > most) {
            waiting.add(fresh);
            if (waiting.size() == 1) {
                loop.execute(this::makeRoom);
            }
        }
        return true;
    }

    /**
     * Nothing is going on on a connection; false if that was so before, as it then keeps its place.
     */
    boolean becomesQuiet(C connection, Quiet kind) {
        return quiet.get(kind).add(connection);
    }

    /** Something is going on on a connection, or may be. */
    void becomesBusy(C connection) {
        quiet.values().forEach(some -> some.remove(connection));
    }

    /** A connection is not open any more, or will not be within this turn of the loop. */
    void remove(C connection) {
        open.remove(connection);
        becomesBusy(connection);
    }

    /**
     * Finds room for those that came without any. It runs behind the reads of the same turn of the
     * loop: a connection whose command was waiting to be read is not idle any more, and would be
     * lost by a close.
     */
    private void makeRoom() {
        for (C late = waiting.poll(); late != null; late = waiting.poll()) {
            if (open.contains(late) && open.size() > most && !evictAny()) {
                late.refuseAll();
            }
        }
    }

    private boolean evictAny() {
        // In a crowd that says nothing all are young: good idle connections must not make room for
        // it.
        long least = quiet.get(Quiet.UNPROVEN).size() > most / CROWD_PART ? 0 : YOUNG_NS;
        return evictFirst(Quiet.ENDING, 0)
                || evictFirst(Quiet.UNPROVEN, least)
                || evictFirst(Quiet.IDLE, 0);
    }

    private boolean evictFirst(Quiet kind, long leastNs) {
        Iterator<C> longest = quiet.get(kind).iterator();
        if (!longest.hasNext()) {
            return false;
        }
        C evicted = longest.next();
        if (Clock.now() - evicted.since() < leastNs) {
            return false;
        }
        evicted.evict();
        return true;
    }
}
