package frostrelay.node;

/**
 * The program's clock, in nanoseconds: the monotonic clock moved once onto Unix time. One fixed
 * offset keeps it from ever falling, and start times told by discovery compare with it directly.
 */
final class Clock {
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000_000_000L;
    private static final long OFFSET = System.currentTimeMillis() * MILLISECOND - System.nanoTime();

    private Clock() {}

    static long now() {
        return System.nanoTime() + OFFSET;
    }
}
