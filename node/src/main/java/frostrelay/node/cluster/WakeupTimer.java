package frostrelay.node.cluster;

import frostrelay.node.time.Clock;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

import java.util.concurrent.TimeUnit;

/**
 * A timer that runs the task of a state machine at the earliest of the scheduled times. Used on the
 * event loop, which also runs the task.
 */
final class WakeupTimer {
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    private final EventLoop loop;
    private final Runnable task;
    private final Runnable wakeup = this::wakeUp;
    private Future<?> timer;
    private long wakeAtNanos = NOT_SCHEDULED;

    /** Creates a timer; {@code task} is expected to schedule the next wakeup itself. */
    WakeupTimer(EventLoop loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** Returns whether no wakeup is pending, or only one that is later than this time. */
    boolean isEarlier(long atNanos) {
        return atNanos < wakeAtNanos;
    }

    /**
     * Schedules a wakeup unless one is pending for the same time or earlier. A wakeup that is
     * already scheduled for a later time still runs the task unless it is cancelled.
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
