package frostrelay.testbed.scenario;

import frostrelay.testbed.invariants.InvariantChecker;

/**
 * A class of requests. {@code fraction}: its part of all; {@code minWorkNanos} and {@code
 * maxWorkNanos}: nanoseconds of a cache's core; {@code latencyObjectiveNanos} and {@code
 * deadlineNanos}: nanoseconds.
 */
public record ClassSpec(
        String name,
        double fraction,
        long minWorkNanos,
        long maxWorkNanos,
        long latencyObjectiveNanos,
        long deadlineNanos,
        double priorityWeight,
        InvariantChecker.Effect effect) {
    /** Whether requests are written with ms; the others are reads. */
    public boolean isWrite() {
        return effect != InvariantChecker.Effect.IDEMPOTENT;
    }
}
