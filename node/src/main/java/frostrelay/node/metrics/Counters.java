package frostrelay.node.metrics;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptResult;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Counters for the log, used to diagnose faults: outcomes of requests and attempts, and lateness of
 * timers. Also limits the lines that peers can cause between two reports. Owned by the event loop;
 * not thread-safe.
 */
public final class Counters {
    private static final long NANOS_PER_MICROSECOND = 1_000L;

    /** A timer that runs later than this counts as late. */
    private static final long LATE_TIMER_NANOS = 5 * Clock.NANOS_PER_MILLISECOND;

    /** Limit on the log lines that peers can cause between two reports. */
    private static final int MAX_WARNINGS_PER_REPORT = 20;

    private static final int MAX_WARNING_LENGTH = 200;
    private static final int MAX_STACK_FRAMES = 6;

    /** Twice the size of a large tier, as every peer may fail and recover between two reports. */
    private static final int MAX_PEER_STATES_PER_REPORT = 200;

    private final long[] outcomes = new long[AttemptResult.values().length];
    private final long[] rejections = new long[RejectionReason.values().length];
    private final long[] closes = new long[CloseReason.values().length];
    private final long[] violations = new long[InvariantViolation.values().length];
    private final long[] denials = new long[ActionGuard.SendDecision.values().length];

    /**
     * Retries, by the outcome of the attempt before them; the last element counts hedged ones,
     * whose predecessor is still in flight.
     */
    private final long[] retries = new long[AttemptResult.values().length + 1];

    public long accepted;
    public long served;
    public long failed;
    public long disconnectedClients;

    /** Commands whose client disconnected before they were processed. */
    public long abandonedCommands;

    public long malformed;

    /** Long values of which the client received only a part. */
    public long truncatedValues;

    public long lastCalls;
    public long connects;

    /** Attempts without a free connection to a cache or the capacity to open a new connection. */
    public long noConnectionCapacity;

    /** Responses that waited for memory before they were read from their cache. */
    public long responsesDelayed;

    private long timers;
    private long lateTimers;
    private long maxLatenessNanos;
    private long warnings;
    private int loggedPeerStates;

    public void recordOutcome(AttemptResult reason) {
        outcomes[reason.ordinal()]++;
    }

    public void rejected(RejectionReason reason) {
        rejections[reason.ordinal()]++;
    }

    public void recordClose(CloseReason reason) {
        closes[reason.ordinal()]++;
    }

    /** Counts an attempt that the action guard prevented from being written. */
    public void recordDenial(ActionGuard.SendDecision decision) {
        denials[decision.ordinal()]++;
    }

    /** Counts and logs an invariant violation; {@code what} names its subject and extent. */
    public void recordViolation(InvariantViolation violation, String what) {
        violations[violation.ordinal()]++;
        if (++warnings <= MAX_WARNINGS_PER_REPORT) {
            Log.write(Event.INVARIANT_VIOLATION, violation, what);
        }
    }

    /**
     * Counts a retry.
     *
     * @param previousOutcome outcome of the attempt before it; null while that is in flight, which
     *     makes the retry a hedged request
     */
    public void recordRetry(AttemptResult previousOutcome) {
        retries[
                previousOutcome == null
                        ? AttemptResult.values().length
                        : previousOutcome.ordinal()]++;
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    /** Returns the number of rejected requests. */
    public long rejected() {
        return sum(rejections);
    }

    private static String kebabName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the counts above 0 by the names of their constants. */
    private static Map<String, Object> byName(Enum<?>[] constants, long[] values) {
        Map<String, Object> named = new LinkedHashMap<>();
        for (Enum<?> constant : constants) {
            if (values[constant.ordinal()] > 0) {
                named.put(kebabName(constant), values[constant.ordinal()]);
            }
        }
        return named;
    }

    private Map<String, Object> retriesByName() {
        Map<String, Object> named = byName(AttemptResult.values(), retries);
        if (retries[AttemptResult.values().length] > 0) {
            named.put("hedged", retries[AttemptResult.values().length]);
        }
        return named;
    }

    /** Counts a timer that ran this many nanoseconds late. */
    public void recordTimer(long latenessNanos) {
        timers++;
        lateTimers += latenessNanos > LATE_TIMER_NANOS ? 1 : 0;
        maxLatenessNanos = Math.max(maxLatenessNanos, latenessNanos);
    }

    /**
     * Logs the counters. Counters that explain unanswered requests come first and counters that are
     * 0 are omitted, as log viewers may truncate long lines.
     *
     * @param gauges current values to log along with the counters
     */
    public void logReport(Map<String, Object> gauges) {
        Map<String, Object> counts = new LinkedHashMap<>();
        counts.put("accepted", accepted);
        counts.put("served", served);
        counts.put("rejected", rejected());
        counts.put("failed", failed);
        putUnlessEmpty(counts, "violations", byName(InvariantViolation.values(), violations));
        putUnlessEmpty(counts, "denials", byName(ActionGuard.SendDecision.values(), denials));
        putUnlessEmpty(counts, "rejections", byName(RejectionReason.values(), rejections));
        putUnlessEmpty(counts, "closes", byName(CloseReason.values(), closes));
        putUnlessEmpty(counts, "retries", retriesByName());
        putUnlessZero(counts, "clients-disconnected", disconnectedClients);
        putUnlessZero(counts, "abandoned", abandonedCommands);
        putUnlessZero(counts, "malformed", malformed);
        putUnlessZero(counts, "truncated", truncatedValues);
        putUnlessZero(counts, "fallback-answers", lastCalls);
        putUnlessZero(counts, "connects", connects);
        putUnlessZero(counts, "no-connection-capacity", noConnectionCapacity);
        putUnlessZero(counts, "responses-delayed", responsesDelayed);
        putUnlessZero(counts, "timers", timers);
        putUnlessZero(counts, "late-timers", lateTimers);
        putUnlessZero(counts, "timer-max-lateness-us", maxLatenessNanos / NANOS_PER_MICROSECOND);
        counts.putAll(byName(AttemptResult.values(), outcomes));
        putUnlessZero(
                counts, "warnings-suppressed", Math.max(0, warnings - MAX_WARNINGS_PER_REPORT));
        warnings = 0;
        loggedPeerStates = 0;
        maxLatenessNanos = 0;
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

    /** Logs a fault of a peer, limited in number and length so that no peer can fill the log. */
    public void warn(String what) {
        if (++warnings <= MAX_WARNINGS_PER_REPORT) {
            Log.write(
                    Event.PROTOCOL_VIOLATION,
                    what.length() > MAX_WARNING_LENGTH
                            ? what.substring(0, MAX_WARNING_LENGTH) + "..."
                            : what);
        }
    }

    /**
     * Counts a change of a peer's state; returns whether it may be logged before the next report.
     */
    public boolean mayLogPeerState() {
        return ++loggedPeerStates <= MAX_PEER_STATES_PER_REPORT;
    }

    /** Logs an unexpected exception with the top of its stack trace, limited like {@link #warn}. */
    public void logUnexpected(String where, Throwable cause) {
        if (++warnings > MAX_WARNINGS_PER_REPORT) {
            return;
        }
        List<String> trace = new ArrayList<>();
        for (StackTraceElement frame : cause.getStackTrace()) {
            if (trace.size() < MAX_STACK_FRAMES) {
                trace.add(frame.toString());
            }
        }
        Log.write(Event.UNEXPECTED_EXCEPTION, where, cause.toString(), trace);
    }
}
