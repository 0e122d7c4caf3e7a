package frostrelay.emulator;

/**
 * A check that a cache in slow start is not overloaded: a window with more arrivals than a multiple
 * of its capacity is a violation.
 */
final class SlowStartGuard {
    static final double OVERLOAD_MULTIPLE = 4;
    static final long WINDOW_NANOS = 1_000_000_000L;

    private final SimInvariantChecker invariantChecker;
    private final SystemModel.Cache spec;
    private final double meanWorkNanos;
    private long windowStartNanos;
    private double capacity;
    private double sent;

    SlowStartGuard(
            SimInvariantChecker invariantChecker, SystemModel.Cache spec, double meanWorkNanos) {
        this.invariantChecker = invariantChecker;
        this.spec = spec;
        this.meanWorkNanos = meanWorkNanos;
    }

    /** Records an arrival while the cache runs at this fraction of its full speed. */
    void onArrival(long now, double speed) {
        if (now - windowStartNanos >= WINDOW_NANOS) {
            if (sent > OVERLOAD_MULTIPLE * capacity) {
                invariantChecker.recordViolation(SimInvariantChecker.Rule.COLD_PUSHED_OVER);
            }
            windowStartNanos = now;
            capacity = 0;
            sent = 0;
        }
        // Mean capacity over the window, at least 1, so that a window with few arrivals is no
        // overload.
        sent++;
        double currentCapacity = spec.cores() * speed * WINDOW_NANOS / meanWorkNanos;
        capacity += (Math.max(1, currentCapacity) - capacity) / sent;
    }
}
