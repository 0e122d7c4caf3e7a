package frostrelay.node.cluster;

import frostrelay.node.time.Clock;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

import java.util.concurrent.TimeUnit;

/**
 * Wakes a state machine at the earliest time that it has asked for. On the event loop, which also
 * runs the task.
 */
final class WakeupTimer {
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    private final EventLoop loop;
    private final Runnable task;
    private final Runnable wakeup = this::wakeUp;
    private Future<?> timer;
    private long wakeAtNanos = NOT_SCHEDULED;

    /** {@code task}: is expected to schedule the next wakeup itself. */
    WakeupTimer(EventLoop loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** Whether a time is earlier than that of the pending wakeup, or none is pending. */
    boolean isEarlier(long atNanos) {
        return atNanos < wakeAtNanos;
    }

    /**
     * Schedules a wakeup unless one is pending by that time. A later one that was scheduled before
     * still runs the task, unless it is cancelled.
     */
    void schedule(long atNanos) {
        if (isEarlier(atNanos)) {
            wakeAtNanos = atNanos;
            timer = loop.schedule(wakeup, Math.max(0, atNanos - Clock.now()), TimeUnit.NANOSECONDS);
        }
    }

    /** Cancels the wakeup that was scheduled last. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        wakeAtNanos = NOT_SCHEDULED;
    }

    private void wakeUp() {
        wakeAtNanos = NOT_SCHEDULED;
        timer = null;
        task.run();
    }
}
