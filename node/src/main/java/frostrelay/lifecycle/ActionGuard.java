package frostrelay.lifecycle;

/**
 * The one place that decides whether a request may be accepted, sent or sent again, and a
 * connection closed, at this moment: by what is left of the request, of its client, of the server,
 * and of this process. Whoever is about to do one of these asks here right before, with the clock
 * read anew, however it was decided on earlier. It reads no clock and does no input or output.
 */
public final class ActionGuard {
    /** This process may be held up for so long between reading its clock and writing. */
    public static final long HELD_UP = 150_000_000L;

    /** What never ends. */
    public static final long NEVER = Long.MAX_VALUE;

    /**
     * While clients are sent away, one that has just come is not closed at once: its first request
     * is on the way, and a close would cross it. A slow way there takes 60 ms, a busy client some
     * more.
     */
    private static final long NEWCOMER = 300_000_000L;

    /**
     * Of the 100 ms within which a client that left must be seen to, the rest is for the way of
     * what is sent.
     */
    private static final long MOST_UNSEEN = 75_000_000L;

    /**
     * The terms allow 150 ms by which a wait may be overstated, and as much for which this process
     * may be held up before it writes: what comes on top, such as the client's own way, is taken
     * off; of short waits only a part.
     */
    private static final long MOST_TOLD_LESS = 60_000_000L;

    private static final long TOLD_LESS_PART = 8;

    /** Whether an attempt may be written, or why not. */
    public enum Verdict {
        /** It may. */
        ALLOWED,
        /** The request has its final answer, or its client has left. */
        REQUEST_OVER,
        /**
         * Its client's connection was not looked at for so long that the client may have left
         * unseen.
         */
        CLIENT_UNSEEN,
        /** The time to answer the request, or to wait for this attempt, is up. */
        TIME_UP,
        /** The server was told to drain, is gone or is held by operators, and the grace is over. */
        SERVER_LEFT,
        /** An earlier attempt may have run, and a second run could have a second effect. */
        MAY_HAVE_RUN
    }

    /**
     * What is known of an attempt that is about to be written.
     *
     * @param requestOver whether the request has its final answer or its client has left
     * @param unseenSince since when its client could have left without being seen to; {@link
     *     #NEVER} while it is watched
     * @param cutAt until when the attempt is waited for; its server is told what is left of that
     * @param answerBy when the request's final answer is due
     * @param serverUntil when the last send to the server may begin; {@link #NEVER} while it is in
     *     use
     * @param repeatUntil when it may be sent at the latest, for what its earlier attempts may have
     *     done; {@link #NEVER} for no limit
     */
    public record Send(
            boolean requestOver,
            long unseenSince,
            long cutAt,
            long answerBy,
            long serverUntil,
            long repeatUntil) {}

    /** How clients are being sent away; null while they are welcome. */
    private DrainSchedule schedule;

    /**
     * From now on clients are sent away by this schedule; null welcomes them again, unless this
     * process is shutting down.
     */
    public void follow(DrainSchedule fresh) {
        if (!isShuttingDown()) {
            schedule = fresh;
        }
    }

    /** Whether clients are being sent away, for whatever reason. */
    public boolean sendsClientsAway() {
        return schedule != null;
    }

    /** Whether this process ends. */
    public boolean isShuttingDown() {
        return schedule != null && schedule.shutdown();
    }

    /**
     * Whether a request that has come whole may be accepted at all at present; refused, it has no
     * effect.
     */
    public boolean mayAccept(long now) {
        return schedule == null || now < schedule.acceptUntil();
    }

    /**
     * Whether a client could have left too long ago: nothing is begun for one that left more than
     * 100 ms before.
     *
     * @param unseenSince since when it could have left without being seen to; {@link #NEVER} while
     *     it is watched
     */
    public boolean isUnseen(long now, long unseenSince) {
        return unseenSince != NEVER && now - unseenSince > MOST_UNSEEN;
    }

    /**
     * When the final answer of a request is due that came at {@code arrivedAt} and whose client
     * waits for {@code wait}.
     */
    public long answerBy(long arrivedAt, long wait) {
        long clientUntil = arrivedAt + wait;
        return schedule == null ? clientUntil : Math.min(clientUntil, schedule.answerUntil());
    }

    /**
     * How long a server is told that an attempt is waited for, if it is written now: never more
     * than the client has left once this process has been held up for a moment and the bytes have
     * had their way.
     */
    public long tellableWait(long now, long cutAt, long answerBy) {
        long clientLeft = answerBy - now;
        long margin = Math.min(MOST_TOLD_LESS, clientLeft / TOLD_LESS_PART);
        return Math.min(cutAt - now, clientLeft - margin);
    }

    /** Whether an attempt may be written now. */
    public Verdict maySend(long now, Send send) {
        if (send.requestOver) {
            return Verdict.REQUEST_OVER;
        }
        if (isUnseen(now, send.unseenSince)) {
            return Verdict.CLIENT_UNSEEN;
        }
        if (now >= send.cutAt || now >= send.answerBy) {
            return Verdict.TIME_UP;
        }
        if (now >= send.serverUntil) {
            return Verdict.SERVER_LEFT;
        }
        return now >= send.repeatUntil ? Verdict.MAY_HAVE_RUN : Verdict.ALLOWED;
    }

    /**
     * Whether a client's connection on which no request is open may be closed because clients are
     * sent away.
     *
     * @param spoke whether a request was ever accepted on it
     * @param quietSince when it came, or fell idle
     * @param incomplete whether a request has come in part
     */
    public boolean mayCloseQuiet(long now, boolean spoke, long quietSince, boolean incomplete) {
        if (schedule == null) {
            return false;
        }
        if (now >= schedule.answerUntil()) {
            return true;
        }
        boolean newcomer = !spoke && now - quietSince < NEWCOMER;
        return !newcomer && now >= (incomplete ? schedule.incompleteUntil() : schedule.idleUntil());
    }
}
