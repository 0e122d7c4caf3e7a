package frostrelay.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Translates the start times of servers, which discovery tells in Unix time, onto this program's
 * clock, which no step of the wall clock moves: taken as they are behind a step, a server that has
 * just started would count as warm, or as cold for an hour. It reads no clock.
 */
final class StartTimes {
    /** The wall clock is set by so much at least where it is set at all; less is drift. */
    private static final long LEAST_STEP = 500 * Clock.MILLISECOND;

    /** A start from before a step may be told of so long after it. */
    private static final long TOLD_WITHIN = 300 * Clock.SECOND;

    /** A start as it was told, and on this program's clock. */
    private record Start(long told, long own) {}

    private final Map<Long, Start> starts = new HashMap<>();

    /** When the last list came, and by how much the wall clock was ahead then. */
    private long listAt;

    private long ahead;

    /**
     * No start that is told first in this time was before it: the last list before a step did not
     * have it.
     */
    private long floor;

    private long floorUntil;
    private long now;

    /** A list has come; {@code wall}: Unix time in nanoseconds. */
    void onList(long now, long wall) {
        this.now = now;
        long aheadNow = wall - now;
        if (listAt != 0 && Math.abs(aheadNow - ahead) > LEAST_STEP) {
            floor = listAt;
            floorUntil = now + TOLD_WITHIN;
        }
        ahead = aheadNow;
        listAt = now;
    }

    /**
     * When a server of the present list started; {@code told}: in Unix time in nanoseconds, 0 for
     * long ago.
     */
    long own(long server, long told) {
        if (told <= 0) {
            forget(server);
            return 0;
        }
        Start known = starts.get(server);
        if (known == null || known.told != told) {
            known = new Start(told, translate(told));
            starts.put(server, known);
        }
        return known.own;
    }

    private long translate(long told) {
        long own = Math.min(told - ahead, now);
        return now < floorUntil ? Math.max(own, floor) : own;
    }

    /** A server is gone. */
    void forget(long server) {
        starts.remove(server);
    }

    /** Forgets all servers but these. */
    void keep(Set<Long> servers) {
        starts.keySet().retainAll(servers);
    }
}
