package frostrelay.node.lifecycle;

import frostrelay.node.time.Clock;

/**
 * Decides whether a request may be accepted, sent or retried, and a connection closed, at a given
 * moment, from the remaining time of the request, its client, the server and this process. Callers
 * check immediately before acting, with a fresh clock reading, regardless of any earlier decision.
 * Reads no clock and does no I/O.
 */
public final class ActionGuard {
    /**
     * The longest pause of this process that is allowed for between a clock reading and a write.
     */
    public static final long MAX_PROCESS_STALL_NANOS = 150 * Clock.NANOS_PER_MILLISECOND;

    /** A moment that never comes. */
    public static final long NEVER = Long.MAX_VALUE;

    /**
     * While draining, a new connection is not closed within this time: its first request may be in
     * transit and would cross the close. A slow network path takes 60 ms, a busy client some more.
     */
    private static final long NEW_CONNECTION_GRACE_NANOS = 300 * Clock.NANOS_PER_MILLISECOND;

    /**
     * A client's disconnect must be acted on within 100 ms; the rest of that time is for the
     * transmission of what is sent.
     */
    private static final long MAX_UNOBSERVED_NANOS = 75 * Clock.NANOS_PER_MILLISECOND;

    /**
     * The protocol allows a forwarded timeout to be overstated by 150 ms, which covers a pause of
     * this process before it writes. This margin covers the rest, such as the client's network
     * path; of short timeouts only a fraction is subtracted.
     */
    private static final long MAX_TIMEOUT_MARGIN_NANOS = 60 * Clock.NANOS_PER_MILLISECOND;

    private static final long TIMEOUT_MARGIN_DIVISOR = 8;

    /** Whether an attempt may be written, or the reason why not. */
    public enum SendDecision {
        /** The attempt may be written. */
        ALLOWED,
        /** The request has its final answer, or its client has disconnected. */
        REQUEST_OVER,
        /**
         * The client's connection has not been read for so long that a disconnect may have gone
         * unnoticed.
         */
        CLIENT_UNOBSERVED,
        /** The request's deadline or the attempt's timeout has passed. */
        TIME_UP,
        /** The server is draining, removed or drained by administrators, and its grace is over. */
        SERVER_UNAVAILABLE,
        /** An earlier attempt may have run, and a second run could have a second effect. */
        MAY_HAVE_RUN
    }

    /**
     * The state of an attempt that is about to be written. All times are clock readings in
     * nanoseconds.
     *
     * @param isRequestOver whether the request has its final answer or its client has disconnected
     * @param unobservedSinceNanos since when a disconnect of the client could have gone unnoticed;
     *     {@link #NEVER} while its connection is being read
     * @param attemptDeadlineNanos when the attempt times out; the remaining time is forwarded to
     *     the server
     * @param requestDeadlineNanos when the request's final answer is due
     * @param serverUsableUntilNanos when the last send to the server may begin; {@link #NEVER}
     *     while it is in use
     * @param retryUntilNanos the latest time to send, given what earlier attempts may have
     *     executed; {@link #NEVER} for no limit
     */
    public record PendingSend(
            boolean isRequestOver,
            long unobservedSinceNanos,
            long attemptDeadlineNanos,
            long requestDeadlineNanos,
            long serverUsableUntilNanos,
            long retryUntilNanos) {}

    /** The schedule of the current drain or shutdown; null while serving. */
    private DrainSchedule schedule;

    /**
     * Starts to drain by this schedule, or returns to serving if it is null. Ignored once this
     * process is shutting down.
     */
    public void setSchedule(DrainSchedule newSchedule) {
        if (!isShuttingDown()) {
            schedule = newSchedule;
        }
    }

    /** Whether clients are being drained, for a drain or a shutdown. */
    public boolean isDraining() {
        return schedule != null;
    }

    /** Whether this process is shutting down. */
    public boolean isShuttingDown() {
        return schedule != null && schedule.isShutdown();
    }

    /**
     * Whether a request that has been received completely may be accepted at {@code now}. A
     * rejected one has no effect.
     */
    public boolean mayAccept(long now) {
        return schedule == null || now < schedule.acceptUntilNanos();
    }

    /**
     * Whether the client could have disconnected too long ago: no work may start for a client that
     * disconnected more than 100 ms before.
     *
     * @param unobservedSinceNanos since when a disconnect could have gone unnoticed; {@link #NEVER}
     *     while its connection is being read
     */
    public boolean isClientUnobserved(long now, long unobservedSinceNanos) {
        return unobservedSinceNanos != NEVER && now - unobservedSinceNanos > MAX_UNOBSERVED_NANOS;
    }

    /**
     * When the final answer is due of a request that arrived at {@code arrivedAtNanos} with a
     * timeout of {@code timeoutNanos}; no later than a shutdown allows.
     */
    public long requestDeadlineNanos(long arrivedAtNanos, long timeoutNanos) {
        long clientDeadlineNanos = arrivedAtNanos + timeoutNanos;
        return schedule == null
                ? clientDeadlineNanos
                : Math.min(clientDeadlineNanos, schedule.answerUntilNanos());
    }

    /**
     * The timeout in nanoseconds that is forwarded to the server if the attempt is written now:
     * never more than the client's remaining time less a margin for a pause of this process and for
     * transmission.
     */
    public long forwardedTimeoutNanos(
            long now, long attemptDeadlineNanos, long requestDeadlineNanos) {
        long clientRemainingNanos = requestDeadlineNanos - now;
        long marginNanos =
                Math.min(MAX_TIMEOUT_MARGIN_NANOS, clientRemainingNanos / TIMEOUT_MARGIN_DIVISOR);
        return Math.min(attemptDeadlineNanos - now, clientRemainingNanos - marginNanos);
    }

    /** Whether an attempt may be written now. */
    public SendDecision checkSend(long now, PendingSend send) {
        if (send.isRequestOver) {
            return SendDecision.REQUEST_OVER;
        }
        if (isClientUnobserved(now, send.unobservedSinceNanos)) {
            return SendDecision.CLIENT_UNOBSERVED;
        }
        if (now >= send.attemptDeadlineNanos || now >= send.requestDeadlineNanos) {
            return SendDecision.TIME_UP;
        }
        if (now >= send.serverUsableUntilNanos) {
            return SendDecision.SERVER_UNAVAILABLE;
        }
        return now >= send.retryUntilNanos ? SendDecision.MAY_HAVE_RUN : SendDecision.ALLOWED;
    }

    /**
     * Whether a client's connection without open requests may be closed because of a drain or a
     * shutdown.
     *
     * @param hasAcceptedRequest whether a request was ever accepted on it
     * @param idleSinceNanos when it was opened or became idle
     * @param hasPartialRequest whether part of a request has been received
     */
    public boolean mayCloseIdle(
            long now, boolean hasAcceptedRequest, long idleSinceNanos, boolean hasPartialRequest) {
        if (schedule == null) {
            return false;
        }
        if (now >= schedule.answerUntilNanos()) {
            return true;
        }
        boolean isNewConnection =
                !hasAcceptedRequest && now - idleSinceNanos < NEW_CONNECTION_GRACE_NANOS;
        return !isNewConnection
                && now
                        >= (hasPartialRequest
                                ? schedule.partialRequestUntilNanos()
                                : schedule.idleUntilNanos());
    }
}
