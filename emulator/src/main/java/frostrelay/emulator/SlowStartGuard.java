package frostrelay.emulator;

/**
 * Watches what one cold cache is sent: more than a multiple of what it can do, over a while, pushes
 * it over.
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

    /** Something arrives while the cache runs at this part of its full speed. */
    void onArrival(long now, double speed) {
        if (now - windowStartNanos >= WINDOW_NANOS) {
            if (sent > OVERLOAD_MULTIPLE * capacity) {
                invariantChecker.recordViolation(SimInvariantChecker.Rule.COLD_PUSHED_OVER);
            }
            windowStartNanos = now;
            capacity = 0;
            sent = 0;
        }
        // The mean of what it can do over the window; a window with few arrivals is no push.
        sent++;
        double currentCapacity = spec.cores() * speed * WINDOW_NANOS / meanWorkNanos;
        capacity += (Math.max(1, currentCapacity) - capacity) / sent;
    }
}
