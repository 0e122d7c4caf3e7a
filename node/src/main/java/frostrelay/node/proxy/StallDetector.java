package frostrelay.node.proxy;

import frostrelay.node.time.Clock;

/**
 * Detects by the missing periodic sweep that this process was stopped or starved. What its peers
 * have sent meanwhile waits in its sockets, and is read before requests are decided on.
 */
final class StallDetector {
    /** The sweep runs four times a second; one overdue by twice that indicates a stall. */
    private static final long STALL_THRESHOLD_NANOS = 750 * Clock.NANOS_PER_MILLISECOND;

    private boolean enabled;
    private long lastSweepNanos = Clock.now();

    void enable() {
        enabled = true;
    }

    void onSweep() {
        lastSweepNanos = Clock.now();
    }

    /** Whether this process has stalled and has not run its sweep since. */
    boolean hasStalled(long now) {
        return enabled && now - lastSweepNanos > STALL_THRESHOLD_NANOS;
    }
}
