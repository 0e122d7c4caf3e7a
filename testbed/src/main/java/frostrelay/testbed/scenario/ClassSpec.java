package frostrelay.testbed.scenario;

import frostrelay.testbed.invariants.InvariantChecker;

/**
 * A class of requests. {@code fraction}: its fraction of all requests; {@code minWorkNanos} and
 * {@code maxWorkNanos}: CPU time at a cache in nanoseconds; {@code latencyObjectiveNanos} and
 * {@code deadlineNanos}: nanoseconds.
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
    /** Returns whether requests are writes (command ms); the others are reads. */
    public boolean isWrite() {
        return effect != InvariantChecker.Effect.IDEMPOTENT;
    }
}
