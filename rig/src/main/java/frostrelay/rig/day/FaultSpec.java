package frostrelay.rig.day;

/**
 * Something that happens. {@code at}: nanoseconds from the day's start; {@code target}: whom it
 * meets, as "cache-3", or "caches 2" for any two; {@code factor}: how much; {@code amount}:
 * nanoseconds, for delays; {@code length}: nanoseconds until it is over, 0 for never.
 */
public record FaultSpec(
        long at, FaultKind kind, String target, double factor, long amount, long length) {
    /** In words. */
    public String text() {
        return kind.word
                + (target.isEmpty() ? "" : " " + target)
                + (kind.usesFactor
                        ? " x"
                                + (factor == Math.rint(factor)
                                        ? String.valueOf((long) factor)
                                        : String.valueOf(factor))
                        : "")
                + (amount > 0 ? " " + amount / 1_000_000 + " ms" : "")
                + (length > 0 ? " for " + length / 100_000_000 / 10.0 + " s" : "");
    }
}
