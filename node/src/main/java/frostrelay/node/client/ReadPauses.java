package frostrelay.node.client;

import frostrelay.node.time.Clock;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;

import java.util.concurrent.TimeUnit;

/**
 * The pauses in reading one client connection, and the delay after them before commands are
 * started.
 */
final class ReadPauses {
    /** The delay of commands after reading has resumed, so that a disconnect is read first. */
    private static final long RESUMED_READ_DELAY_MILLIS = 2;

    private final SocketChannel channel;
    private final ReadAhead readAhead;
    private final EventLoop loop;

    /** Runs when a pause or a delay may be over. */
    private final Runnable updateTask;

    private long readingPausedUntilNanos;
    private long dispatchDelayedUntilNanos;

    ReadPauses(SocketChannel channel, ReadAhead readAhead, EventLoop loop, Runnable updateTask) {
        this.channel = channel;
        this.readAhead = readAhead;
        this.loop = loop;
        this.updateTask = updateTask;
    }

    /** Pauses reading for the given time, after which the update task runs. */
    void pause(long millis) {
        readingPausedUntilNanos = Clock.now() + millis * Clock.NANOS_PER_MILLISECOND;
        setReading(false);
        loop.schedule(updateTask, millis, TimeUnit.MILLISECONDS);
    }

    /** Resumes or stops reading, depending on the pauses and the number of buffered bytes. */
    void update() {
        setReading(readAhead.hasCapacity() && Clock.now() >= readingPausedUntilNanos);
    }

    private void setReading(boolean enabled) {
        if (!enabled) {
            readAhead.markPaused();
        } else if (readAhead.markResumed()) {
            // The client may have disconnected during the pause, which must be read before a
            // command is started.
            dispatchDelayedUntilNanos =
                    Clock.now() + RESUMED_READ_DELAY_MILLIS * Clock.NANOS_PER_MILLISECOND;
            loop.schedule(updateTask, RESUMED_READ_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
        channel.config().setAutoRead(enabled);
    }

    /**
     * Returns whether commands may be started: neither a pause nor the delay after it is in effect.
     */
    boolean allowsDispatch() {
        return Clock.now() >= Math.max(readingPausedUntilNanos, dispatchDelayedUntilNanos);
    }
}
