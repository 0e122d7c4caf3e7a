package frostrelay.testbed.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Detects stalls of the testbed's own event loops, as on a busy machine: data that is read after a
 * stall arrived earlier, and its transit time is unknown. Thread-safe.
 */
final class LoopMonitor {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 20;
    private static final long MAX_DELAY_NANOS = 80_000_000L;

    /** Data that a stall delayed on one loop may take this long to reach another loop. */
    private static final long STALL_RECOVERY_NANOS = 500_000_000L;

    private final List<AtomicLong> heartbeats = new ArrayList<>();
    private final AtomicLong longestStallNanos = new AtomicLong();
    private final AtomicLong stalledAtNanos =
            new AtomicLong(System.nanoTime() - STALL_RECOVERY_NANOS);

    LoopMonitor(EventLoopGroup group) {
        for (EventExecutor executor : group) {
            AtomicLong beat = new AtomicLong(System.nanoTime());
            heartbeats.add(beat);
            ((EventLoop) executor)
                    .scheduleAtFixedRate(
                            () -> beat(beat),
                            HEARTBEAT_INTERVAL_MILLIS,
                            HEARTBEAT_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void beat(AtomicLong beat) {
        long now = System.nanoTime();
        long gap = now - beat.getAndSet(now);
        if (gap > MAX_DELAY_NANOS) {
            stalledAtNanos.set(now);
            longestStallNanos.accumulateAndGet(gap, Math::max);
        }
    }

    /** Returns the longest stall so far in nanoseconds, or 0 if there was none. */
    long longestStallNanos() {
        return longestStallNanos.get();
    }

    /** Returns whether a loop is stalled or was stalled within the recovery time. */
    boolean isStalled(long now) {
        return now - stalledAtNanos.get() < STALL_RECOVERY_NANOS
                || heartbeats.stream().anyMatch(beat -> now - beat.get() > MAX_DELAY_NANOS);
    }
}
