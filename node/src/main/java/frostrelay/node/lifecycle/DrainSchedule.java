package frostrelay.node.lifecycle;

import frostrelay.node.time.Clock;

/**
 * The schedule of a drain or a graceful shutdown. A connection is closed after the next answer on
 * it, when its client has nothing in transit that could cross the close; an unused one is closed at
 * {@code idleUntilNanos}. All times are clock readings in nanoseconds.
 *
 * @param isShutdown whether this process ends; a drain leaves it running
 * @param acceptUntilNanos requests received later are rejected
 * @param idleUntilNanos idle connections are closed from then on
 * @param partialRequestUntilNanos when waiting for the rest of a partial request ends
 * @param answerUntilNanos when every request must have its final answer
 */
public record DrainSchedule(
        boolean isShutdown,
        long acceptUntilNanos,
        long idleUntilNanos,
        long partialRequestUntilNanos,
        long answerUntilNanos) {
    /**
     * Administrators check 4 s after the start of a drain that it is complete; this leaves enough
     * time for the longest requests.
     */
    private static final long DRAIN_IDLE_NANOS = 1_200 * Clock.NANOS_PER_MILLISECOND;

    private static final long DRAIN_ACCEPT_NANOS = 1_900 * Clock.NANOS_PER_MILLISECOND;
    private static final long DRAIN_PARTIAL_REQUEST_NANOS = 2_700 * Clock.NANOS_PER_MILLISECOND;

    /**
     * SIGKILL may follow SIGTERM after the longest request deadline, capped at this, plus {@link
     * #KILL_DELAY_NANOS}.
     */
    private static final long MAX_DEADLINE_NANOS = 3_000 * Clock.NANOS_PER_MILLISECOND;

    private static final long KILL_DELAY_NANOS = 700 * Clock.NANOS_PER_MILLISECOND;

    /**
     * Subtracted from that: a pause of this process of up to 150 ms, 50 ms until the signal is
     * handled, and the transmission of the last answers.
     */
    private static final long KILL_MARGIN_NANOS = 300 * Clock.NANOS_PER_MILLISECOND;

    /**
     * New clients may arrive for up to 400 ms; a request received within 700 ms has its full
     * deadline before the kill.
     */
    private static final long SHUTDOWN_ACCEPT_NANOS = 600 * Clock.NANOS_PER_MILLISECOND;

    /** How long slow clients may take after the last answer to read what is still being sent. */
    private static final long FLUSH_TIMEOUT_NANOS = 2_000 * Clock.NANOS_PER_MILLISECOND;

    /** The schedule of a drain that begins at {@code now}. */
    public static DrainSchedule forDrain(long now) {
        return new DrainSchedule(
                false,
                now + DRAIN_ACCEPT_NANOS,
                now + DRAIN_IDLE_NANOS,
                now + DRAIN_PARTIAL_REQUEST_NANOS,
                Long.MAX_VALUE);
    }

    /**
     * The schedule of a shutdown that was requested at {@code signalledAtNanos}, under settings
     * with this longest request deadline.
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

    /** The latest time at which the process exits by itself. */
    public long exitAtNanos() {
        return answerUntilNanos + FLUSH_TIMEOUT_NANOS;
    }
}
