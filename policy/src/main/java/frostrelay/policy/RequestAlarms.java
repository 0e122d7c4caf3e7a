package frostrelay.policy;

import frostrelay.policy.api.PolicyActions;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The times at which requests need attention, multiplexed onto one timer of the caller. A request
 * has one alarm at a time: setting another one supersedes it.
 */
final class RequestAlarms {
    /** Token of the timer that these alarms use. */
    static final int TIMER_TOKEN = 1;

    /** Fraction of the shortest time to a slow answer by which timers may be late. */
    private static final double LATENESS_FRACTION = 0.125;

    private record Alarm(long atNanos, RequestState state) {
        boolean isSuperseded() {
            return state.isCompleted || state.alarmAtNanos != atNanos;
        }
    }

    private final PolicyActions actions;
    private final PriorityQueue<Alarm> alarms =
            new PriorityQueue<>(
                    Comparator.comparingLong(Alarm::atNanos)
                            .thenComparingLong(alarm -> alarm.state.request.id()));
    private long timerAtNanos;

    /** Before this a missing answer says nothing: it may have arrived and be still unread. */
    private long graceUntilNanos;

    /** A timer that is later than this shows that this balancer itself was late. */
    private long maxLatenessNanos;

    RequestAlarms(PolicyActions actions) {
        this.actions = actions;
    }

    /** Sets the shortest time after which a missing answer is a sign of overload. */
    void setMinSlowAfterNanos(long minSlowAfterNanos) {
        maxLatenessNanos = (long) (LATENESS_FRACTION * minSlowAfterNanos);
    }

    /** Sets the request's alarm; {@link RequestState#NEVER} clears it. */
    void set(long now, RequestState state, long atNanos) {
        state.alarmAtNanos = atNanos;
        if (atNanos != RequestState.NEVER) {
            alarms.add(new Alarm(atNanos, state));
        }
        scheduleTimer(now);
    }

    /** Schedules the timer for the first alarm unless an earlier one is scheduled already. */
    void scheduleTimer(long now) {
        while (!alarms.isEmpty() && alarms.peek().isSuperseded()) {
            alarms.poll();
        }
        if (alarms.isEmpty()) {
            return;
        }
        long firstAtNanos = alarms.peek().atNanos;
        if (timerAtNanos <= now || firstAtNanos < timerAtNanos) {
            timerAtNanos = Math.max(now + 1, firstAtNanos);
            actions.scheduleTimer(timerAtNanos, TIMER_TOKEN);
        }
    }

    /** Removes and returns the next request whose alarm is due, or null. */
    RequestState pollDue(long now) {
        while (!alarms.isEmpty() && alarms.peek().atNanos <= now) {
            Alarm alarm = alarms.poll();
            if (!alarm.isSuperseded()) {
                return alarm.state;
            }
        }
        return null;
    }

    /**
     * Begins a grace period if the timer is late. A late timer shows that nothing else was handled
     * meanwhile either: answers may be waiting unread, so requests get as much more time as the
     * timer is late. Guards against mistaking this balancer's own lateness (a cold start, a long
     * garbage collection, an exhausted CPU quota) for slow servers and hedging every request. Cost:
     * while this balancer is late all the time, a slow fleet shows in rejections alone.
     */
    void recordTimerLateness(long now) {
        long latenessNanos = alarms.isEmpty() ? 0 : now - alarms.peek().atNanos;
        if (latenessNanos > maxLatenessNanos) {
            graceUntilNanos = Math.max(graceUntilNanos, now + latenessNanos);
        }
    }

    /** Postpones what is due during a grace period to its end. */
    void postponeDuringGrace(long now, RequestState state) {
        if (now < graceUntilNanos) {
            state.slowAtNanos = postponed(state.slowAtNanos);
            state.hedgeAtNanos = postponed(state.hedgeAtNanos);
        }
    }

    private long postponed(long atNanos) {
        // NEVER is later than any grace period.
        return Math.max(atNanos, graceUntilNanos);
    }
}
