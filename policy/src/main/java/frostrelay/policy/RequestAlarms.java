package frostrelay.policy;

import frostrelay.policy.api.PolicyActions;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Alarms of requests, multiplexed onto one timer of the caller. A request has one alarm at a time:
 * setting another one supersedes it.
 */
final class RequestAlarms {
    /** Token of the timer that these alarms use. */
    static final int TIMER_TOKEN = 1;

    /** Tolerated lateness of timers, as a fraction of the shortest time to a slow answer. */
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

    /** End of the grace period, in which a missing answer may have arrived but be unread. */
    private long graceUntilNanos;

    /** Lateness of a timer above which this balancer itself counts as late. */
    private long maxLatenessNanos;

    RequestAlarms(PolicyActions actions) {
        this.actions = actions;
    }

    /** Sets the shortest time after which a missing answer indicates overload. */
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
     * Begins a grace period if the timer is late. A late timer indicates that this balancer handled
     * nothing else either and that answers may be unread, so the grace period is as long as the
     * timer is late. Otherwise a delay of this balancer (a cold start, a long garbage collection,
     * an exhausted CPU quota) would look like slow servers, and every request would be hedged. The
     * cost is that a slow fleet is detected only by rejections while this balancer is always late.
     */
    void recordTimerLateness(long now) {
        long latenessNanos = alarms.isEmpty() ? 0 : now - alarms.peek().atNanos;
        if (latenessNanos > maxLatenessNanos) {
            graceUntilNanos = Math.max(graceUntilNanos, now + latenessNanos);
        }
    }

    /** Postpones the request's hedging and slowness checks to the end of a grace period. */
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
