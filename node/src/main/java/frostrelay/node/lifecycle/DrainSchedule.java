package frostrelay.node.lifecycle;

/**
 * The schedule by which clients are sent away, for a drain or for a shutdown. A connection closes
 * behind the next answer on it, as its client then has nothing on the way that the close could
 * cross; one that is not used is closed at {@code idleUntilNanos}.
 *
 * @param isShutdown whether this process ends; a drain leaves it running
 * @param acceptUntilNanos requests that come later are refused
 * @param idleUntilNanos connections with nothing to do are closed from then on
 * @param partialRequestUntilNanos a request that has come in part is waited for until then
 * @param answerUntilNanos every request must have its final answer by then
 */
public record DrainSchedule(
        boolean isShutdown,
        long acceptUntilNanos,
        long idleUntilNanos,
        long partialRequestUntilNanos,
        long answerUntilNanos) {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    /**
     * What operators see 4 s after a drain began must be over: this leaves the longest of half a
     * request's time.
     */
    private static final long DRAIN_IDLE_NANOS = 1_200 * NANOS_PER_MILLISECOND;

    private static final long DRAIN_ACCEPT_NANOS = 1_900 * NANOS_PER_MILLISECOND;
    private static final long DRAIN_PARTIAL_REQUEST_NANOS = 2_700 * NANOS_PER_MILLISECOND;

    /**
     * SIGKILL may follow SIGTERM after the longest deadline, which counts as this at most, and
     * {@link #KILL_DELAY_NANOS}.
     */
    private static final long MAX_DEADLINE_NANOS = 3_000 * NANOS_PER_MILLISECOND;

    private static final long KILL_DELAY_NANOS = 700 * NANOS_PER_MILLISECOND;

    /**
     * Kept from that: up to 150 ms for which this process may be held up, 50 ms until the signal is
     * seen, and the way of the last answers.
     */
    private static final long KILL_MARGIN_NANOS = 300 * NANOS_PER_MILLISECOND;

    /**
     * Clients go on coming for up to 400 ms; what came within 700 ms has the whole of its deadline
     * before the kill.
     */
    private static final long SHUTDOWN_ACCEPT_NANOS = 600 * NANOS_PER_MILLISECOND;

    /**
     * Behind the last answer, slow clients are still given the rest of what they are being sent.
     */
    private static final long FLUSH_TIMEOUT_NANOS = 2_000 * NANOS_PER_MILLISECOND;

    /** For a drain that begins now. */
    public static DrainSchedule forDrain(long now) {
        return new DrainSchedule(
                false,
                now + DRAIN_ACCEPT_NANOS,
                now + DRAIN_IDLE_NANOS,
                now + DRAIN_PARTIAL_REQUEST_NANOS,
                Long.MAX_VALUE);
    }

    /**
     * For a shutdown that was asked for at {@code signalledAtNanos}, under settings with this
     * longest deadline of a request.
     */
    public static DrainSchedule forShutdown(long signalledAtNanos, long longestDeadlineNanos) {
        long killAtNanos =
                signalledAtNanos
                        + Math.min(longestDeadlineNanos, MAX_DEADLINE_NANOS)
                        + KILL_DELAY_NANOS;
        long answerUntilNanos = killAtNanos - KILL_MARGIN_NANOS;
        long acceptUntilNanos =
                Math.min(signalledAtNanos + SHUTDOWN_ACCEPT_NANOS, answerUntilNanos);
        return new DrainSchedule(
                true, acceptUntilNanos, acceptUntilNanos, answerUntilNanos, answerUntilNanos);
    }

    /** When the process ends at the latest, if nobody ends it before. */
    public long exitAtNanos() {
        return answerUntilNanos + FLUSH_TIMEOUT_NANOS;
    }
}
