package frostrelay.node;

import frostrelay.lifecycle.ActionGuard;
import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.policy.Api.Reason;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Sparse counts for the log, to find causes by: how requests and attempts end, and how late we run.
 */
final class Counters {
    private static final long MICROSECOND = 1_000L;

    /** Lines that peers may cause between two prints, and the length of one. */
    private static final int MOST_NOISES = 20;

    private static final int MOST_NOISE = 200;
    private static final int MOST_FRAMES = 6;

    /** Twice a large tier: every balancer of it may go and come back between two prints. */
    private static final int MOST_STATES = 200;

    private final long[] outcomes = new long[Reason.values().length];
    private final long[] refusals = new long[RefusalReason.values().length];
    private final long[] closes = new long[CloseReason.values().length];
    private final long[] violations = new long[Violation.values().length];
    private final long[] denials = new long[ActionGuard.Verdict.values().length];

    /**
     * Further attempts, by how the one before them ended; the last place counts those beside one
     * that is still out.
     */
    private final long[] repeats = new long[Reason.values().length + 1];

    long taken;
    long served;
    long failed;
    long clientsGone;

    /** Commands whose clients had closed their connections before anything was done. */
    long departed;

    long malformed;

    /** Long values whose client got only part of them. */
    long cutShort;

    long lastCalls;
    long connects;

    /** Attempts for which there was no connection to a cache, nor room for one. */
    long noLinkRoom;

    private long timers;
    private long lateTimers;
    private long latest;
    private long noises;
    private int states;

    void outcome(Reason reason) {
        outcomes[reason.ordinal()]++;
    }

    void refused(RefusalReason reason) {
        refusals[reason.ordinal()]++;
    }

    void closed(CloseReason reason) {
        closes[reason.ordinal()]++;
    }

    /** The guard kept an attempt from being written. */
    void denied(ActionGuard.Verdict verdict) {
        denials[verdict.ordinal()]++;
    }

    /** An invariant does not hold; {@code what}: whose, and by how much. */
    void violated(Violation violation, String what) {
        violations[violation.ordinal()]++;
        if (++noises <= MOST_NOISES) {
            Log.write(Event.VIOLATION, violation, what);
        }
    }

    /**
     * One more attempt of a request; {@code last}: how the one before it ended, null while that is
     * still out.
     */
    void repeated(Reason last) {
        repeats[last == null ? Reason.values().length : last.ordinal()]++;
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    /** Requests that were refused. */
    long refused() {
        return sum(refusals);
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The counts above 0, by the names of what they count. */
    private static Map<String, Object> byName(Enum<?>[] constants, long[] values) {
        Map<String, Object> named = new LinkedHashMap<>();
        for (Enum<?> constant : constants) {
            if (values[constant.ordinal()] > 0) {
                named.put(word(constant), values[constant.ordinal()]);
            }
        }
        return named;
    }

    private Map<String, Object> repeatsByName() {
        Map<String, Object> named = byName(Reason.values(), repeats);
        if (repeats[Reason.values().length] > 0) {
            named.put("hedged", repeats[Reason.values().length]);
        }
        return named;
    }

    void timer(long late) {
        timers++;
        lateTimers += late > 5 * Clock.MILLISECOND ? 1 : 0;
        latest = Math.max(latest, late);
    }

    /**
     * Writes what has been counted so far. What explains requests without an answer comes first,
     * and what is 0 is left out: where logs are shown, long lines are cut.
     */
    void print(Map<String, Object> gauges) {
        Map<String, Object> counts = new LinkedHashMap<>();
        counts.put("taken", taken);
        counts.put("served", served);
        counts.put("refused", refused());
        counts.put("failed", failed);
        putUnlessEmpty(counts, "violations", byName(Violation.values(), violations));
        putUnlessEmpty(counts, "denials", byName(ActionGuard.Verdict.values(), denials));
        putUnlessEmpty(counts, "refusals", byName(RefusalReason.values(), refusals));
        putUnlessEmpty(counts, "closes", byName(CloseReason.values(), closes));
        putUnlessEmpty(counts, "repeats", repeatsByName());
        putUnlessZero(counts, "gone", clientsGone);
        putUnlessZero(counts, "departed", departed);
        putUnlessZero(counts, "malformed", malformed);
        putUnlessZero(counts, "cut-short", cutShort);
        putUnlessZero(counts, "last-calls", lastCalls);
        putUnlessZero(counts, "connects", connects);
        putUnlessZero(counts, "no-link-room", noLinkRoom);
        putUnlessZero(counts, "timers", timers);
        putUnlessZero(counts, "timers-late", lateTimers);
        putUnlessZero(counts, "timer-worst-us", latest / MICROSECOND);
        counts.putAll(byName(Reason.values(), outcomes));
        putUnlessZero(counts, "not-logged", Math.max(0, noises - MOST_NOISES));
        noises = 0;
        states = 0;
        latest = 0;
        Log.write(Event.COUNTS, counts, gauges);
    }

    private static void putUnlessZero(Map<String, Object> counts, String name, long value) {
        if (value != 0) {
            counts.put(name, value);
        }
    }

    private static void putUnlessEmpty(
            Map<String, Object> counts, String name, Map<String, Object> detail) {
        if (!detail.isEmpty()) {
            counts.put(name, detail);
        }
    }

    /** What a peer can cause as often as it likes: told in part, so that it cannot fill the log. */
    void noise(String what) {
        if (++noises <= MOST_NOISES) {
            Log.write(
                    Event.PEER,
                    what.length() > MOST_NOISE ? what.substring(0, MOST_NOISE) + "..." : what);
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
