package frostrelay.lifecycle;

/**
 * The timetable by which clients are sent away, for a drain or before an end. A connection closes behind the next
 * answer on it, as its client then has nothing on the way that a close could cross; one that is not used is closed
 * at {@code idleUntil}, and past {@code serveUntil} no connection is held that has no open request.
 *
 * @param drain clients are told to go elsewhere; before an end they are served as long as they find this process
 */
public record Departure(boolean drain, long idleUntil, long serveUntil) {
    private static final long MS = 1_000_000L;
    /** What operators see 4 s after a drain began must be over: this leaves the longest of half a command's time. */
    private static final long DRAIN_IDLE = 1_200 * MS;
    private static final long DRAIN_SERVE = 1_900 * MS;
    /** An end comes this long after the longest deadline, which counts as 3 s at least. */
    private static final long END_AFTER = 700 * MS;
    private static final long LEAST_LONGEST = 3_000 * MS;
    /** Kept from that for the last answers' way. */
    private static final long END_MARGIN = 300 * MS;
    private static final long STOP_IDLE = 600 * MS;
    private static final long MOST_STOP_SERVE = 1_500 * MS;

    /** For a drain that begins now. */
    public static Departure drain(long now) {
        return new Departure(true, now + DRAIN_IDLE, now + DRAIN_SERVE);
    }

    /** For an end that was asked for now: what comes until {@code serveUntil} can be answered before it. */
    public static Departure end(long now, long longestDeadline) {
        long room = Math.max(longestDeadline, LEAST_LONGEST) + END_AFTER - longestDeadline - END_MARGIN;
        long serve = Math.max(STOP_IDLE, Math.min(MOST_STOP_SERVE, room));
        return new Departure(false, now + serve, now + serve);
    }
}
