package frostrelay.node.time;

/**
 * The program's clock, in nanoseconds: the monotonic clock moved once onto Unix time. One fixed
 * offset keeps it from ever falling, and start times told by discovery compare with it directly.
 */
public final class Clock {
    public static final long NANOS_PER_MILLISECOND = 1_000_000L;
    public static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long UNIX_OFFSET_NANOS =
            System.currentTimeMillis() * NANOS_PER_MILLISECOND - System.nanoTime();

    private Clock() {}

    public static long now() {
        return System.nanoTime() + UNIX_OFFSET_NANOS;
    }
}
