package frostrelay.lifecycle;

/**
 * The schedule by which clients are sent away, for a drain or for a shutdown. A connection closes
 * behind the next answer on it, as its client then has nothing on the way that the close could
 * cross; one that is not used is closed at {@code idleUntil}.
 *
 * @param shutdown whether this process ends; a drain leaves it running
 * @param acceptUntil requests that come later are refused
 * @param idleUntil connections with nothing to do are closed from then on
 * @param incompleteUntil a request that has come in part is waited for until then
 * @param answerUntil every request must have its final answer by then
 */
public record DrainSchedule(
        boolean shutdown,
        long acceptUntil,
        long idleUntil,
        long incompleteUntil,
        long answerUntil) {
    private static final long MS = 1_000_000L;

    /**
     * What operators see 4 s after a drain began must be over: this leaves the longest of half a
     * request's time.
     */
    private static final long DRAIN_IDLE = 1_200 * MS;

    private static final long DRAIN_ACCEPT = 1_900 * MS;
    private static final long DRAIN_INCOMPLETE = 2_700 * MS;

    /**
     * SIGKILL may follow SIGTERM after the longest deadline, which counts as this at most, and
     * {@link #KILL_AFTER}.
     */
    private static final long MOST_DEADLINE = 3_000 * MS;

    private static final long KILL_AFTER = 700 * MS;

    /**
     * Kept from that: up to 150 ms for which this process may be held up, 50 ms until the signal is
     * seen, and the way of the last answers.
     */
    private static final long KILL_MARGIN = 300 * MS;

    /**
     * Clients go on coming for up to 400 ms; what came within 700 ms has the whole of its deadline
     * before the kill.
     */
    private static final long SHUTDOWN_ACCEPT = 600 * MS;

    /**
     * Behind the last answer, slow clients are still given the rest of what they are being sent.
     */
    private static final long FLUSH = 2_000 * MS;

    /** For a drain that begins now. */
    public static DrainSchedule forDrain(long now) {
        return new DrainSchedule(
                false,
                now + DRAIN_ACCEPT,
                now + DRAIN_IDLE,
                now + DRAIN_INCOMPLETE,
                Long.MAX_VALUE);
    }

    /**
     * For a shutdown that was asked for at {@code signalledAt}, under settings with this longest
     * deadline of a request.
     */
    public static DrainSchedule forShutdown(long signalledAt, long longestDeadline) {
        long kill = signalledAt + Math.min(longestDeadline, MOST_DEADLINE) + KILL_AFTER;
        long answer = kill - KILL_MARGIN;
        long accept = Math.min(signalledAt + SHUTDOWN_ACCEPT, answer);
        return new DrainSchedule(true, accept, accept, answer, answer);
    }

    /** When the process ends at the latest, if nobody ends it before. */
    public long exitAt() {
        return answerUntil + FLUSH;
    }
}
