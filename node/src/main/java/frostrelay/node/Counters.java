package frostrelay.node;

import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.policy.Api.Reason;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Sparse counts for the log, to find causes by: how requests and attempts end, and how late we run. */
final class Counters {
    private static final long MICROSECOND = 1_000L;
    /** Lines that peers may cause between two prints, and the length of one. */
    private static final int MOST_NOISES = 20;
    private static final int MOST_NOISE = 200;
    private static final int MOST_FRAMES = 6;
    /** Twice a large tier: every balancer of it may go and come back between two prints. */
    private static final int MOST_STATES = 200;
    private final long[] outcomes = new long[Reason.values().length];
    long taken;
    long served;
    long refused;
    long failed;
    long clientsGone;
    /** Commands whose clients had closed their connections before anything was done. */
    long departed;
    long malformed;
    /** Long values whose client got only part of them. */
    long cutShort;
    long lastCalls;
    long connects;
    long localRefusals;
    /** Clients' connections closed for room, for silence or halves, for long idling, and for want of any room. */
    long evicted;
    long timedOut;
    long retired;
    long turnedAway;
    private long timers;
    private long lateTimers;
    private long latest;
    private long noises;
    private int states;

    void outcome(Reason reason) {
        outcomes[reason.ordinal()]++;
    }

    void timer(long late) {
        timers++;
        lateTimers += late > 5 * Clock.MILLISECOND ? 1 : 0;
        latest = Math.max(latest, late);
    }

    /** Writes what has been counted so far. */
    void print(Map<String, Object> gauges) {
        Map<String, Object> counts = new LinkedHashMap<>();
        counts.put("taken", taken);
        counts.put("served", served);
        counts.put("refused", refused);
        counts.put("failed", failed);
        counts.put("gone", clientsGone);
        counts.put("departed", departed);
        counts.put("malformed", malformed);
        counts.put("cut-short", cutShort);
        counts.put("last-calls", lastCalls);
        counts.put("connects", connects);
        counts.put("local-refusals", localRefusals);
        counts.put("evicted", evicted);
        counts.put("timed-out", timedOut);
        counts.put("retired", retired);
        counts.put("turned-away", turnedAway);
        counts.put("timers", timers);
        counts.put("timers-late", lateTimers);
        counts.put("timer-worst-us", latest / MICROSECOND);
        for (Reason reason : Reason.values()) {
            if (outcomes[reason.ordinal()] > 0) {
                counts.put(reason.name().toLowerCase(Locale.ROOT).replace('_', '-'), outcomes[reason.ordinal()]);
            }
        }
        counts.put("not-logged", Math.max(0, noises - MOST_NOISES));
        noises = 0;
        states = 0;
        latest = 0;
        Log.write(Event.COUNTS, counts, gauges);
    }

    /** What a peer can cause as often as it likes: told in part, so that it cannot fill the log. */
    void noise(String what) {
        if (++noises <= MOST_NOISES) {
            Log.write(Event.PEER, what.length() > MOST_NOISE ? what.substring(0, MOST_NOISE) + "..." : what);
        }
    }

    /** Whether one more change of a peer's state may be told before the next print. */
    boolean mayTell() {
        return ++states <= MOST_STATES;
    }

    /** An exception that nobody expected: the place where it arose is what finds its cause. */
    void unexpected(String where, Throwable cause) {
        if (++noises > MOST_NOISES) {
            return;
        }
        List<String> trace = new ArrayList<>();
        for (StackTraceElement frame : cause.getStackTrace()) {
            if (trace.size() < MOST_FRAMES) {
                trace.add(frame.toString());
            }
        }
        Log.write(Event.UNEXPECTED, where, cause.toString(), trace);
    }
}
