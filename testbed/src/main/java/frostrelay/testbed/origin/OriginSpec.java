package frostrelay.testbed.origin;

/**
 * What the archive is. {@code concurrency}: fetches it works on at once; {@code meanFetchNanos}:
 * mean nanoseconds of one; {@code queueCapacity}: the most that wait; sent {@code overloadMultiple}
 * times what it can do for {@code overloadWindowNanos} nanoseconds it stops for {@code
 * outageNanos}; {@code meanValueBytes}: mean bytes of a value.
 */
public record OriginSpec(
        int concurrency,
        long meanFetchNanos,
        int queueCapacity,
        double overloadMultiple,
        long overloadWindowNanos,
        long outageNanos,
        int meanValueBytes) {
    /** Fetches a second that it can do. */
    public double fetchesPerSecond() {
        return concurrency * 1e9 / meanFetchNanos;
    }
}
