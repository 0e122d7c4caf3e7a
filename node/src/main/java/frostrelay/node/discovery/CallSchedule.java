package frostrelay.node.discovery;

import frostrelay.node.time.Clock;

/**
 * Decides by when the next call to discovery must be made. A change of the endpoint list is binding
 * some time after it was made, whether this balancer has received it or not, and a call may wait in
 * discovery's queue before it is answered or rejected. So each event after which changes may be
 * missed has a latest time for the next call. All times are clock readings in nanoseconds. Reads no
 * clock and does no I/O.
 */
final class CallSchedule {
    /** The time of a call for which there is no latest one. */
    static final long ANY_TIME = Long.MAX_VALUE;

    /** Changes are binding so long after a reload that moved discovery. */
    private static final long BINDING_AFTER_MOVE_NANOS = 4 * Clock.NANOS_PER_SECOND;

    /** After a failed call, and in an unresponsive watch, changes are binding so long after. */
    private static final long BINDING_AFTER_CHANGE_NANOS = 6 * Clock.NANOS_PER_SECOND;

    /** Changes that a watch has missed are not binding before this time after its wait. */
    private static final long BINDING_AFTER_WAIT_NANOS = 2 * Clock.NANOS_PER_SECOND;

    /** The longest time for which discovery queues a call before it rejects it. */
    private static final long MAX_QUEUE_NANOS = 3 * Clock.NANOS_PER_SECOND;

    /**
     * A list that comes so long after its changes became binding is in time, as sends to a drained
     * server end early in its grace of some 500 ms.
     */
    private static final long DRAIN_SLACK_NANOS = 250 * Clock.NANOS_PER_MILLISECOND;

    /** The time for one more call if the one that replaces a watch is rejected at the last. */
    private static final long RETRY_RESERVE_NANOS = 500 * Clock.NANOS_PER_MILLISECOND;

    /** The time for an answer to arrive after the queue, or after the wait of a watch. */
    private static final long RESPONSE_GRACE_NANOS = 200 * Clock.NANOS_PER_MILLISECOND;

    /** A call that fails within this time was not queued: discovery is down. */
    private static final long MIN_QUEUED_NANOS = Clock.NANOS_PER_SECOND;

    /** The pause after a call that was not queued, as the next one may fail as fast. */
    private static final long RETRY_PAUSE_NANOS = 300 * Clock.NANOS_PER_MILLISECOND;

    /** A watch that starts within this time of a list misses no change in between. */
    private static final long CONTINUOUS_WATCH_NANOS = 200 * Clock.NANOS_PER_MILLISECOND;

    /**
     * The time between the starts of two watches, per instance of the tier: all instances together
     * make at most two calls a second that return nothing, until the maximum is reached.
     */
    private static final long PERIOD_PER_INSTANCE_NANOS = 500 * Clock.NANOS_PER_MILLISECOND;

    private static final long MIN_PERIOD_NANOS = 2 * Clock.NANOS_PER_SECOND;
    private static final long MAX_PERIOD_NANOS = 20 * Clock.NANOS_PER_SECOND;

    /** The time by which a watch is replaced before its changes can be binding. */
    private static final long REPLACEMENT_LEAD_NANOS = MAX_QUEUE_NANOS + RETRY_RESERVE_NANOS;

    /** The time of the last list, from which the balancer knew all changes. */
    private long lastListNanos;

    /** The time from which changes that may have been missed are binding, after a failure. */
    private long bindingAtNanos;

    /** Whether the last call failed. */
    private boolean isFailing;

    /** The time of the first move that no list has followed yet. */
    private long movedAtNanos;

    private boolean isMoved;

    CallSchedule(long now) {
        lastListNanos = now;
    }

    /** Returns how long a watch asks to wait for a change, for a tier of so many instances. */
    static long watchWaitNanos(int instanceCount) {
        long periodNanos =
                Math.max(
                        MIN_PERIOD_NANOS,
                        Math.min(MAX_PERIOD_NANOS, instanceCount * PERIOD_PER_INSTANCE_NANOS));
        long waitNanos = periodNanos - BINDING_AFTER_WAIT_NANOS + REPLACEMENT_LEAD_NANOS;
        return replacedAfterNanos(periodNanos) > periodNanos ? periodNanos : waitNanos;
    }

    /**
     * Returns the time after the start of a watch without an answer at which another one starts
     * beside it: early enough for the changes that an unresponsive watch would miss.
     */
    static long replacedAfterNanos(long waitNanos) {
        return bindingAfterNanos(waitNanos) - REPLACEMENT_LEAD_NANOS;
    }

    /** Returns the time after its start from which changes that a watch misses are binding. */
    private static long bindingAfterNanos(long waitNanos) {
        return Math.max(BINDING_AFTER_CHANGE_NANOS, waitNanos + BINDING_AFTER_WAIT_NANOS);
    }

    /**
     * Returns the time after its start at which a call is given up. A shorter one would lose the
     * call's place in the queue.
     *
     * @param waitNanos how long the call asks to wait for a change; 0 if it is answered at once
     */
    static long expiresAfterNanos(long waitNanos) {
        return Math.max(MAX_QUEUE_NANOS, waitNanos) + RESPONSE_GRACE_NANOS;
    }

    /** Records a list, also one without changes. */
    void onList(long now) {
        lastListNanos = now;
        isFailing = false;
        isMoved = false;
    }

    /** Records that another discovery is in charge from now on; the former one told all so far. */
    void onMoved(long now) {
        lastListNanos = isFailing ? lastListNanos : now;
        movedAtNanos = isMoved ? movedAtNanos : now;
        isMoved = true;
    }

    /**
     * Records a failed call and returns the time by which the next one must start, or {@link
     * #ANY_TIME} if the stagger of the tier decides: discovery is down, a watch has been lost, or
     * it is too late. A whole tier then calls, and would fail again if it did so at once.
     *
     * @param startedAtNanos when the call started
     * @param waitNanos how long a watch waits; 0 for a call that is answered at once
     * @param isConnected whether discovery had accepted its connection
     */
    long onFailure(long now, long startedAtNanos, long waitNanos, boolean isConnected) {
        long elapsedNanos = now - startedAtNanos;
        boolean wasQueued = isConnected && elapsedNanos >= MIN_QUEUED_NANOS;
        boolean wasLost =
                !isFailing && elapsedNanos > expiresAfterNanos(0) && isContinuous(startedAtNanos);
        if (!wasQueued || wasLost) {
            bindingAtNanos = now + BINDING_AFTER_CHANGE_NANOS;
        } else if (!isFailing) {
            // A call that follows no list replaces an unresponsive watch.
            bindingAtNanos =
                    lastListNanos + bindingAfterNanos(isContinuous(startedAtNanos) ? 0 : waitNanos);
        }
        isFailing = true;
        isMoved &= now <= movedAtNanos + BINDING_AFTER_MOVE_NANOS + DRAIN_SLACK_NANOS;
        long dueNanos = listDueNanos();
        boolean isUrgent = isMoved || wasQueued && !wasLost;
        if (!isUrgent || now > dueNanos) {
            bindingAtNanos = now + BINDING_AFTER_CHANGE_NANOS;
            return ANY_TIME;
        }
        return Math.max(dueNanos - MAX_QUEUE_NANOS, wasQueued ? now : now + RETRY_PAUSE_NANOS);
    }

    /** Returns the time by which the next list is needed. */
    private long listDueNanos() {
        long earliestBindingNanos =
                isMoved
                        ? Math.min(bindingAtNanos, movedAtNanos + BINDING_AFTER_MOVE_NANOS)
                        : bindingAtNanos;
        return earliestBindingNanos + DRAIN_SLACK_NANOS;
    }

    /** Returns whether a call followed a list so soon that it missed no change. */
    private boolean isContinuous(long startedAtNanos) {
        return lastListNanos >= startedAtNanos - CONTINUOUS_WATCH_NANOS;
    }
}
