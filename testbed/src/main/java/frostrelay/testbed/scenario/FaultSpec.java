package frostrelay.testbed.scenario;

/**
 * An injected fault. {@code startNanos}: nanoseconds from the start of the scenario; {@code
 * target}: such as "cache-3", or "any-2" for two random ones; {@code factor}: strength; {@code
 * amountNanos}: nanoseconds, for delays; {@code durationNanos}: nanoseconds until the fault is
 * undone, 0 for never.
 */
public record FaultSpec(
        long startNanos,
        FaultKind kind,
        String target,
        double factor,
        long amountNanos,
        long durationNanos) {
    /** Describes the fault for messages. */
    public String describe() {
        return kind.wireName
                + (target.isEmpty() ? "" : " " + target)
                + (kind.usesFactor
                        ? " x"
                                + (factor == Math.rint(factor)
                                        ? String.valueOf((long) factor)
                                        : String.valueOf(factor))
                        : "")
                + (amountNanos > 0 ? " " + amountNanos / 1_000_000 + " ms" : "")
                + (durationNanos > 0 ? " for " + durationNanos / 100_000_000 / 10.0 + " s" : "");
    }
}
