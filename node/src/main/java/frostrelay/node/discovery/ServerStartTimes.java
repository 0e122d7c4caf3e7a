package frostrelay.node.discovery;

import frostrelay.node.time.Clock;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Converts the start times of servers, which the discovery reports in Unix time, to this process's
 * monotonic clock. Without the conversion, after a step of the wall clock a server that has just
 * started would count as warm, or a server would count as warming up for an hour. Reads no clock;
 * not thread-safe.
 */
public final class ServerStartTimes {
    /** A smaller change of the wall clock's offset is drift, not a step. */
    private static final long MIN_CLOCK_STEP_NANOS = 500 * Clock.NANOS_PER_MILLISECOND;

    /** Time after a step in which starts from before it may still be reported. */
    private static final long CLOCK_STEP_GRACE_NANOS = 300 * Clock.NANOS_PER_SECOND;

    /** A start as reported, in Unix time, and on this process's clock. */
    private record Start(long unixNanos, long localNanos) {}

    private final Map<Long, Start> starts = new HashMap<>();

    /** Time at which the last list was received; 0 before the first. */
    private long lastListAtNanos;

    /** Difference of the wall clock to the process's clock at the last list. */
    private long wallClockOffsetNanos;

    /**
     * The earliest possible start of servers first reported after a step, until {@link
     * #earliestStartUntilNanos}: the last list before the step did not contain them.
     */
    private long earliestStartNanos;

    private long earliestStartUntilNanos;
    private long nowNanos;

    /**
     * Records that a list was received, before its start times are converted.
     *
     * @param nowNanos reading of this process's clock
     * @param wallNanos Unix time in nanoseconds
     */
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
     * Returns the start of a server of the current list on this process's clock, in nanoseconds.
     * The first conversion of a reported start is kept.
     *
     * @param unixNanos the reported start, Unix time in nanoseconds; 0 or less means long ago, for
     *     which 0 is returned
     */
    public long toLocalStart(long server, long unixNanos) {
        if (unixNanos <= 0) {
            forget(server);
            return 0;
        }
        Start known = starts.get(server);
        if (known == null || known.unixNanos != unixNanos) {
            known = new Start(unixNanos, convert(unixNanos));
            starts.put(server, known);
        }
        return known.localNanos;
    }

    private long convert(long unixNanos) {
        long localNanos = Math.min(unixNanos - wallClockOffsetNanos, nowNanos);
        return nowNanos < earliestStartUntilNanos
                ? Math.max(localNanos, earliestStartNanos)
                : localNanos;
    }

    /** Forgets a server that was removed. */
    public void forget(long server) {
        starts.remove(server);
    }

    /** Forgets all servers but these. */
    public void retainOnly(Set<Long> servers) {
        starts.keySet().retainAll(servers);
    }
}
