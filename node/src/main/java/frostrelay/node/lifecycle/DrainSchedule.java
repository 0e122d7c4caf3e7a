package frostrelay.node.lifecycle;

import frostrelay.node.time.Clock;

/**
 * The schedule of a drain or a graceful shutdown. A connection is closed after the next answer on
 * it, when its client has nothing in transit that could cross the close; an idle connection is
 * closed at {@code idleUntilNanos}. All times are clock readings in nanoseconds.
 *
 * @param isShutdown whether this process ends; a drain leaves it running
 * @param acceptUntilNanos time from which received requests are rejected
 * @param idleUntilNanos time from which idle connections are closed
 * @param partialRequestUntilNanos time at which waiting for the rest of a partial request ends
 * @param answerUntilNanos time by which every request must have its final answer
 */
public record DrainSchedule(
        boolean isShutdown,
        long acceptUntilNanos,
        long idleUntilNanos,
        long partialRequestUntilNanos,
        long answerUntilNanos) {
    /**
     * Time until idle connections are closed. Administrators check 4 s after the start of a drain
     * that it is complete; this leaves enough time for the longest requests.
     */
    private static final long DRAIN_IDLE_NANOS = 1_200 * Clock.NANOS_PER_MILLISECOND;

    private static final long DRAIN_ACCEPT_NANOS = 1_900 * Clock.NANOS_PER_MILLISECOND;
    private static final long DRAIN_PARTIAL_REQUEST_NANOS = 2_700 * Clock.NANOS_PER_MILLISECOND;

    /**
     * Maximum request deadline that delays SIGKILL, which may follow SIGTERM after the longest
     * request deadline, capped at this value, plus {@link #KILL_DELAY_NANOS}.
     */
    private static final long MAX_DEADLINE_NANOS = 3_000 * Clock.NANOS_PER_MILLISECOND;

    private static final long KILL_DELAY_NANOS = 700 * Clock.NANOS_PER_MILLISECOND;

    /**
     * Time between the last answer and SIGKILL: a pause of this process of up to 150 ms, 50 ms
     * until the signal is handled, and the transmission of the last answers.
     */
    private static final long KILL_MARGIN_NANOS = 300 * Clock.NANOS_PER_MILLISECOND;

    /**
     * Time during which a shutdown accepts requests. New clients may arrive for up to 400 ms; a
     * request received within 700 ms has its full deadline before SIGKILL.
     */
    private static final long SHUTDOWN_ACCEPT_NANOS = 600 * Clock.NANOS_PER_MILLISECOND;

    /** How far a transfer of a response may fall behind its pace and still delay the exit. */
    private static final long MAX_TRANSFER_BEHIND_NANOS = 3 * Clock.NANOS_PER_SECOND;

    /** Maximum time after the last answer was due for which transfers delay the exit. */
    private static final long MAX_TRANSFER_NANOS = 60 * Clock.NANOS_PER_SECOND;

    /** Maximum time for slow clients to read the remaining answers after the last deadline. */
    private static final long FLUSH_TIMEOUT_NANOS = 2_000 * Clock.NANOS_PER_MILLISECOND;

    /** Returns the schedule of a drain that begins at {@code now}. */
    public static DrainSchedule forDrain(long now) {
        return new DrainSchedule(
                false,
                now + DRAIN_ACCEPT_NANOS,
                now + DRAIN_IDLE_NANOS,
                now + DRAIN_PARTIAL_REQUEST_NANOS,
                Long.MAX_VALUE);
    }

    /**
     * Returns the schedule of a shutdown that was requested at {@code signalledAtNanos}, with the
     * longest request deadline in the settings.
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

    /**
     * Returns the time at which the process exits without being killed, unless responses are still
     * being passed on.
     */
    public long exitAtNanos() {
        return answerUntilNanos + FLUSH_TIMEOUT_NANOS;
    }

    /**
     * Returns whether the process exits at {@code now} although clients are connected. A platform
     * that kills it later than it may lets values that have begun come whole.
     *
     * @param leastBehindNanos how far the least delayed transfer of a response is behind its pace;
     *     {@link Long#MAX_VALUE} without one
     */
    public boolean mustExit(long now, long leastBehindNanos) {
        boolean mayAwaitTransfer =
                leastBehindNanos <= MAX_TRANSFER_BEHIND_NANOS
                        && now < answerUntilNanos + MAX_TRANSFER_NANOS;
        return now >= exitAtNanos() && !mayAwaitTransfer;
    }
}
