package frostrelay.node.lifecycle;

/**
 * The one place that decides whether a request may be accepted, sent or sent again, and a
 * connection closed, at this moment: by what is left of the request, of its client, of the server,
 * and of this process. Whoever is about to do one of these asks here right before, with the clock
 * read anew, however it was decided on earlier. It reads no clock and does no input or output.
 */
public final class ActionGuard {
    /** This process may be held up for so long between reading its clock and writing. */
    public static final long MAX_PROCESS_STALL_NANOS = 150_000_000L;

    /** What never ends. */
    public static final long NEVER = Long.MAX_VALUE;

    /**
     * While clients are sent away, one that has just come is not closed at once: its first request
     * is on the way, and a close would cross it. A slow way there takes 60 ms, a busy client some
     * more.
     */
    private static final long NEW_CONNECTION_GRACE_NANOS = 300_000_000L;

    /**
     * Of the 100 ms within which a client that left must be seen to, the rest is for the way of
     * what is sent.
     */
    private static final long MAX_UNOBSERVED_NANOS = 75_000_000L;

    /**
     * The terms allow 150 ms by which a wait may be overstated, and as much for which this process
     * may be held up before it writes: what comes on top, such as the client's own way, is taken
     * off; of short waits only a part.
     */
    private static final long MAX_TIMEOUT_MARGIN_NANOS = 60_000_000L;

    private static final long TIMEOUT_MARGIN_DIVISOR = 8;

    /** Whether an attempt may be written, or why not. */
    public enum SendDecision {
        /** It may. */
        ALLOWED,
        /** The request has its final answer, or its client has left. */
        REQUEST_OVER,
        /**
         * Its client's connection was not looked at for so long that the client may have left
         * unseen.
         */
        CLIENT_UNOBSERVED,
        /** The time to answer the request, or to wait for this attempt, is up. */
        TIME_UP,
        /** The server was told to drain, is gone or is held by operators, and the grace is over. */
        SERVER_UNAVAILABLE,
        /** An earlier attempt may have run, and a second run could have a second effect. */
        MAY_HAVE_RUN
    }

    /**
     * What is known of an attempt that is about to be written.
     *
     * @param isRequestOver whether the request has its final answer or its client has left
     * @param unobservedSinceNanos since when its client could have left without being seen to;
     *     {@link #NEVER} while it is watched
     * @param attemptDeadlineNanos until when the attempt is waited for; its server is told what is
     *     left of that
     * @param requestDeadlineNanos when the request's final answer is due
     * @param serverUsableUntilNanos when the last send to the server may begin; {@link #NEVER}
     *     while it is in use
     * @param retryUntilNanos when it may be sent at the latest, for what its earlier attempts may
     *     have done; {@link #NEVER} for no limit
     */
    public record PendingSend(
            boolean isRequestOver,
            long unobservedSinceNanos,
            long attemptDeadlineNanos,
            long requestDeadlineNanos,
            long serverUsableUntilNanos,
            long retryUntilNanos) {}

    /** How clients are being sent away; null while they are welcome. */
    private DrainSchedule schedule;

    /**
     * From now on clients are sent away by this schedule; null welcomes them again, unless this
     * process is shutting down.
     */
    public void setSchedule(DrainSchedule newSchedule) {
        if (!isShuttingDown()) {
            schedule = newSchedule;
        }
    }

    /** Whether clients are being sent away, for whatever reason. */
    public boolean isDraining() {
        return schedule != null;
    }

    /** Whether this process ends. */
    public boolean isShuttingDown() {
        return schedule != null && schedule.isShutdown();
    }

    /**
     * Whether a request that has come whole may be accepted at all at present; refused, it has no
     * effect.
     */
    public boolean mayAccept(long now) {
        return schedule == null || now < schedule.acceptUntilNanos();
    }

    /**
     * Whether a client could have left too long ago: nothing is begun for one that left more than
     * 100 ms before.
     *
     * @param unobservedSinceNanos since when it could have left without being seen to; {@link
     *     #NEVER} while it is watched
     */
    public boolean isClientUnobserved(long now, long unobservedSinceNanos) {
        return unobservedSinceNanos != NEVER && now - unobservedSinceNanos > MAX_UNOBSERVED_NANOS;
    }

    /**
     * When the final answer of a request is due that came at {@code arrivedAtNanos} and whose
     * client waits for {@code timeoutNanos}.
     */
    public long requestDeadlineNanos(long arrivedAtNanos, long timeoutNanos) {
        long clientDeadlineNanos = arrivedAtNanos + timeoutNanos;
        return schedule == null
                ? clientDeadlineNanos
                : Math.min(clientDeadlineNanos, schedule.answerUntilNanos());
    }

    /**
     * How long a server is told that an attempt is waited for, if it is written now: never more
     * than the client has left once this process has been held up for a moment and the bytes have
     * had their way.
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
     * Whether a client's connection on which no request is open may be closed because clients are
     * sent away.
     *
     * @param hasAcceptedRequest whether a request was ever accepted on it
     * @param idleSinceNanos when it came, or fell idle
     * @param hasPartialRequest whether a request has come in part
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
