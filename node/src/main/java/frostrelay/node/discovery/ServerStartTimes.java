package frostrelay.node.discovery;

import frostrelay.node.time.Clock;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Translates the start times of servers, which discovery tells in Unix time, onto this program's
 * clock, which no step of the wall clock moves: taken as they are behind a step, a server that has
 * just started would count as warm, or as cold for an hour. It reads no clock.
 */
public final class ServerStartTimes {
    /** The wall clock is set by so much at least where it is set at all; less is drift. */
    private static final long MIN_CLOCK_STEP_NANOS = 500 * Clock.NANOS_PER_MILLISECOND;

    /** A start from before a step may be told of so long after it. */
    private static final long CLOCK_STEP_GRACE_NANOS = 300 * Clock.NANOS_PER_SECOND;

    /** A start as it was told, and on this program's clock. */
    private record Start(long unixNanos, long localNanos) {}

    private final Map<Long, Start> starts = new HashMap<>();

    /** When the last list came, and by how much the wall clock was ahead then. */
    private long lastListAtNanos;

    private long wallClockOffsetNanos;

    /**
     * No start that is told first in this time was before it: the last list before a step did not
     * have it.
     */
    private long earliestStartNanos;

    private long earliestStartUntilNanos;
    private long nowNanos;

    /** A list has come; {@code wallNanos}: Unix time in nanoseconds. */
    public void onEndpointList(long nowNanos, long wallNanos) {
        this.nowNanos = nowNanos;
        long newOffsetNanos = wallNanos - nowNanos;
        if (lastListAtNanos != 0
                && Math.abs(newOffsetNanos - wallClockOffsetNanos) > MIN_CLOCK_STEP_NANOS) {
            earliestStartNanos = lastListAtNanos;
            earliestStartUntilNanos = nowNanos + CLOCK_STEP_GRACE_NANOS;
        }
        wallClockOffsetNanos = newOffsetNanos;
        lastListAtNanos = nowNanos;
    }

    /**
     * When a server of the present list started; {@code unixNanos}: in Unix time in nanoseconds, 0
     * for long ago.
     */
    public long toLocalStart(long server, long unixNanos) {
        if (unixNanos <= 0) {
            forget(server);
            return 0;
        }
        Start known = starts.get(server);
        if (known == null || known.unixNanos != unixNanos) {
            known = new Start(unixNanos, translate(unixNanos));
            starts.put(server, known);
        }
        return known.localNanos;
    }

    private long translate(long unixNanos) {
        long localNanos = Math.min(unixNanos - wallClockOffsetNanos, nowNanos);
        return nowNanos < earliestStartUntilNanos
                ? Math.max(localNanos, earliestStartNanos)
                : localNanos;
    }

    /** A server is gone. */
    public void forget(long server) {
        starts.remove(server);
    }

    /** Forgets all servers but these. */
    public void retainOnly(Set<Long> servers) {
        starts.keySet().retainAll(servers);
    }
}
