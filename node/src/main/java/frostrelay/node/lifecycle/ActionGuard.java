package frostrelay.node.lifecycle;

import frostrelay.node.time.Clock;

/**
 * A guard that decides whether a request may be accepted, sent or retried, or a connection closed,
 * at a given time. Decisions depend on the remaining time of the request, its client, the server
 * and this process. Callers check immediately before acting, with a fresh clock reading, regardless
 * of any earlier decision. Reads no clock and does no I/O.
 */
public final class ActionGuard {
    /** The longest tolerated pause of this process between a clock reading and a write. */
    public static final long MAX_PROCESS_STALL_NANOS = 150 * Clock.NANOS_PER_MILLISECOND;

    /** A time that is never reached. */
    public static final long NEVER = Long.MAX_VALUE;

    /**
     * While draining, a new connection is not closed within this time: its first request may be in
     * transit and would cross the close. A slow network path takes 60 ms, a busy client longer.
     */
    private static final long NEW_CONNECTION_GRACE_NANOS = 300 * Clock.NANOS_PER_MILLISECOND;

    /**
     * A client's disconnect must take effect within 100 ms; the remaining 25 ms are for
     * transmission.
     */
    private static final long MAX_UNOBSERVED_NANOS = 75 * Clock.NANOS_PER_MILLISECOND;

    /**
     * The protocol allows a forwarded timeout to be overstated by 150 ms, which covers a pause of
     * this process before it writes. This margin covers the rest, such as the client's network
     * path; for short timeouts, only a fraction of the remaining time is subtracted.
     */
    private static final long MAX_TIMEOUT_MARGIN_NANOS = 60 * Clock.NANOS_PER_MILLISECOND;

    private static final long TIMEOUT_MARGIN_DIVISOR = 8;

    /** The decision whether an attempt may be written, with the reason if it may not. */
    public enum SendDecision {
        /** The attempt may be written. */
        ALLOWED,
        /** The request has its final answer, or its client has disconnected. */
        REQUEST_OVER,
        /**
         * The client's connection has not been read for longer than allowed, so that a disconnect
         * may have remained undetected.
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
     * @param unobservedSinceNanos time since which a disconnect of the client may be undetected;
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
     * Starts to drain by this schedule, or resumes serving if it is null. Ignored once this process
     * is shutting down.
     */
    public void setSchedule(DrainSchedule newSchedule) {
        if (!isShuttingDown()) {
            schedule = newSchedule;
        }
    }

    /** Returns whether clients are being drained, for a drain or a shutdown. */
    public boolean isDraining() {
        return schedule != null;
    }

    /** Returns whether this process is shutting down. */
    public boolean isShuttingDown() {
        return schedule != null && schedule.isShutdown();
    }

    /**
     * Returns whether a completely received request may be accepted at {@code now}. A rejected
     * request has no effect.
     */
    public boolean mayAccept(long now) {
        return schedule == null || now < schedule.acceptUntilNanos();
    }

    /**
     * Returns whether the client may have disconnected too long ago: no work may start for a client
     * that disconnected more than 100 ms before.
     *
     * @param unobservedSinceNanos time since which a disconnect may be undetected; {@link #NEVER}
     *     while its connection is being read
     */
    public boolean isClientUnobserved(long now, long unobservedSinceNanos) {
        return unobservedSinceNanos != NEVER && now - unobservedSinceNanos > MAX_UNOBSERVED_NANOS;
    }

    /**
     * Returns the deadline of the final answer to a request that arrived at {@code arrivedAtNanos}
     * with a timeout of {@code timeoutNanos}; no later than a shutdown allows.
     */
    public long requestDeadlineNanos(long arrivedAtNanos, long timeoutNanos) {
        long clientDeadlineNanos = arrivedAtNanos + timeoutNanos;
        return schedule == null
                ? clientDeadlineNanos
                : Math.min(clientDeadlineNanos, schedule.answerUntilNanos());
    }

    /**
     * Returns the timeout in nanoseconds to forward to the server if the attempt is written now. It
     * never exceeds the client's remaining time less a margin for a pause of this process and for
     * transmission.
     */
    public long forwardedTimeoutNanos(
            long now, long attemptDeadlineNanos, long requestDeadlineNanos) {
        long clientRemainingNanos = requestDeadlineNanos - now;
        long marginNanos =
                Math.min(MAX_TIMEOUT_MARGIN_NANOS, clientRemainingNanos / TIMEOUT_MARGIN_DIVISOR);
        return Math.min(attemptDeadlineNanos - now, clientRemainingNanos - marginNanos);
    }

    /** Returns whether an attempt may be written now. */
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
     * Returns whether a client's connection without open requests may be closed because of a drain
     * or a shutdown.
     *
     * @param hasAcceptedRequest whether a request was ever accepted on it
     * @param idleSinceNanos time at which it was opened or became idle
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
