package frostrelay.node.client;

import frostrelay.node.time.Clock;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;

import java.util.concurrent.TimeUnit;

/** Decides when one client connection is read, and when commands are begun after a pause. */
final class ReadPauses {
    /** How long commands wait after reading has resumed, so that a disconnect is read first. */
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

    /** Stops reading for this long; the update task is run at the end. */
    void pause(long millis) {
        readingPausedUntilNanos = Clock.now() + millis * Clock.NANOS_PER_MILLISECOND;
        setReading(false);
        loop.schedule(updateTask, millis, TimeUnit.MILLISECONDS);
    }

    /** Reads on, or stops, as the pauses and the bytes that wait allow. */
    void update() {
        setReading(readAhead.hasCapacity() && Clock.now() >= readingPausedUntilNanos);
    }

    private void setReading(boolean enabled) {
        if (!enabled) {
            readAhead.markPaused();
        } else if (readAhead.markResumed()) {
            // The client may have disconnected meanwhile: that is read before a command is begun.
            dispatchDelayedUntilNanos =
                    Clock.now() + RESUMED_READ_DELAY_MILLIS * Clock.NANOS_PER_MILLISECOND;
            loop.schedule(updateTask, RESUMED_READ_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
        channel.config().setAutoRead(enabled);
    }

    /** Whether neither a pause nor the delay behind it keeps commands from being begun. */
    boolean allowsDispatch() {
        return Clock.now() >= Math.max(readingPausedUntilNanos, dispatchDelayedUntilNanos);
    }
}
