package frostrelay.node.time;

/**
 * The process's clock in nanoseconds: the monotonic clock plus an offset to Unix time that is fixed
 * at the start. It never goes backwards, and it is comparable with Unix times such as the start
 * times that the discovery reports. Thread-safe.
 */
public final class Clock {
    public static final long NANOS_PER_MILLISECOND = 1_000_000L;
    public static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long UNIX_OFFSET_NANOS =
            System.currentTimeMillis() * NANOS_PER_MILLISECOND - System.nanoTime();

    private Clock() {}

    /** The current reading in nanoseconds. */
    public static long now() {
        return System.nanoTime() + UNIX_OFFSET_NANOS;
    }
}
