package frostrelay.testbed.origin;

/**
 * The properties of the origin. {@code concurrency}: concurrent fetches; {@code meanFetchNanos}:
 * mean duration of a fetch; {@code queueCapacity}: maximum number of waiting requests; a load of
 * {@code overloadMultiple} times its capacity over {@code overloadWindowNanos} causes an outage of
 * {@code outageNanos}; {@code meanValueBytes}: mean size of a value.
 */
public record OriginSpec(
        int concurrency,
        long meanFetchNanos,
        int queueCapacity,
        double overloadMultiple,
        long overloadWindowNanos,
        long outageNanos,
        int meanValueBytes) {
    /** Returns the capacity in fetches per second. */
    public double fetchesPerSecond() {
        return concurrency * 1e9 / meanFetchNanos;
    }
}
