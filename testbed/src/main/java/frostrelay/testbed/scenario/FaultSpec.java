package frostrelay.testbed.scenario;

/**
 * Something that happens. {@code startNanos}: nanoseconds from the day's start; {@code target}:
 * whom it meets, as "cache-3", or "caches 2" for any two; {@code factor}: how much; {@code
 * amountNanos}: nanoseconds, for delays; {@code durationNanos}: nanoseconds until it is over, 0 for
 * never.
 */
public record FaultSpec(
        long startNanos,
        FaultKind kind,
        String target,
        double factor,
        long amountNanos,
        long durationNanos) {
    /** In words. */
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
