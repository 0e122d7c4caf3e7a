package frostrelay.node.proxy;

import frostrelay.node.time.Clock;

/**
 * A detector of stalls of this process, which uses the delay of a periodic sweep. Messages that
 * peers sent during a stall are still in the sockets and must be read before the policy decides on
 * requests.
 */
final class StallDetector {
    /** The sweep runs every 250 ms; a sweep that is overdue by two periods indicates a stall. */
    private static final long STALL_THRESHOLD_NANOS = 750 * Clock.NANOS_PER_MILLISECOND;

    private boolean enabled;
    private long lastSweepNanos = Clock.now();

    void enable() {
        enabled = true;
    }

    void onSweep() {
        lastSweepNanos = Clock.now();
    }

    /** Returns whether this process has stalled and the sweep has not run since then. */
    boolean hasStalled(long now) {
        return enabled && now - lastSweepNanos > STALL_THRESHOLD_NANOS;
    }
}
