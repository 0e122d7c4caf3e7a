package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.net.MemoryAccount;
import frostrelay.node.net.ReadSizeLimit;
import frostrelay.node.time.Clock;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * A bounded buffer that reads a client's connection ahead of the commands being served. A
 * disconnect can be read only after all bytes sent before it, and must be detected while earlier
 * commands are in flight. The bytes are kept on the heap and counted at the size of their buffer;
 * read buffers are released at once. Runs on the event loop.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /**
     * The limit per connection; the size of hundreds of commands, which is more than well-behaved
     * clients send at once.
     */
    private static final int MAX_BUFFERED_BYTES = 128 * 1024;

    /**
     * The number of bytes passed to the decoder at a time. A chunk also ends with a line, so that
     * no command is decoded long before it is started: decoded, short commands take many times the
     * memory of their bytes.
     */
    private static final int CHUNK_BYTES = 4 * 1024;

    private static final int GROWTH_BYTES = ReadSizeLimit.MIN_READ_BYTES;

    /** The memory of an {@link Arrival}. */
    private static final int ARRIVAL_BYTES = 32;

    /** The event loop reads its sockets before it runs a task with this delay. */
    private static final long NEXT_ITERATION_MILLIS = 1;

    /**
     * Bytes that arrive within this time of each other share the arrival time of the first of them.
     */
    private static final long SAME_ARRIVAL_NANOS = 5 * Clock.NANOS_PER_MILLISECOND;

    /**
     * The time after the end of a pause within which bytes that arrived during the pause are read.
     */
    private static final long RESUME_WINDOW_NANOS = 20 * Clock.NANOS_PER_MILLISECOND;

    /** A group of bytes with the same arrival time. */
    private static final class Arrival {
        final long atNanos;
        int remainingBytes;

        Arrival(long atNanos, int bytes) {
            this.atNanos = atNanos;
            this.remainingBytes = bytes;
        }
    }

    /** A listener that is notified of reads. */
    interface Listener {
        /** Called when so many further bytes are waiting for {@link #feedDecoder}. */
        void onBytesBuffered(int bytes);

        /**
         * Called when all bytes that had arrived have been read, or as many as this event loop
         * iteration and the next one may read.
         *
         * @param hasBytes whether any bytes were read
         */
        void onReadComplete(boolean hasBytes);
    }

    private final Listener listener;
    private final MemoryAccount account;

    /** The limit on reads per event loop iteration. If it is reached, more bytes may be waiting. */
    private final int maxReadsPerIteration;

    private ChannelHandlerContext context;
    private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

    /** The arrival times of the buffered bytes, in the order of the bytes. */
    private final Deque<Arrival> arrivals = new ArrayDeque<>(1);

    /** The arrival time of the bytes that were last passed to the decoder. */
    private long arrivedAtNanos;

    /**
     * The time at which reading was paused; 0 if it was not. Bytes that are read shortly after the
     * end of a pause may have arrived at any time since its start.
     */
    private long pausedSinceNanos;

    /** The time at which reading was resumed after a pause; 0 if it was not. */
    private long resumedAtNanos;

    /** The time since which unread bytes may have been waiting; 0 if all bytes have been read. */
    private long unreadSinceNanos;

    private int readsThisIteration;

    /** The number of event loop iterations in which this connection was read. */
    private long iterationCount;

    private boolean discarding;

    ReadAhead(Listener listener, MemoryAccount account, int maxReadsPerIteration) {
        this.listener = listener;
        this.account = account;
        this.maxReadsPerIteration = maxReadsPerIteration;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        releaseBuffer();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        readsThisIteration++;
        unreadSinceNanos = unreadSinceNanos == 0 ? Clock.now() : unreadSinceNanos;
        if (!discarding) {
            recordArrival(bytes.readableBytes());
            int length = bytes.readableBytes();
            append(bytes);
            listener.onBytesBuffered(length);
        }
        bytes.release();
    }

    private void append(ByteBuf bytes) {
        if (buffer.writableBytes() < bytes.readableBytes()) {
            int neededBytes = buffer.readableBytes() + bytes.readableBytes();
            int newCapacity = (neededBytes + GROWTH_BYTES - 1) / GROWTH_BYTES * GROWTH_BYTES;
            ByteBuf enlarged = Unpooled.buffer(newCapacity).writeBytes(buffer);
            account.reserve(newCapacity - buffer.capacity());
            buffer.release();
            buffer = enlarged;
        }
        buffer.writeBytes(bytes);
    }

    private void recordArrival(int bytes) {
        long now = Clock.now();
        if (resumedAtNanos != 0 && now - resumedAtNanos > RESUME_WINDOW_NANOS) {
            clearPause();
        }
        long arrivalNanos = pausedSinceNanos == 0 ? now : pausedSinceNanos;
        Arrival last = arrivals.peekLast();
        if (last != null && arrivalNanos - last.atNanos < SAME_ARRIVAL_NANOS) {
            last.remainingBytes += bytes;
        } else {
            arrivals.add(new Arrival(arrivalNanos, bytes));
            account.reserve(ARRIVAL_BYTES);
        }
    }

    /**
     * Records a pause of reading. Bytes that arrive during the pause get its start as their arrival
     * time.
     */
    void markPaused() {
        pausedSinceNanos = pausedSinceNanos == 0 ? Clock.now() : pausedSinceNanos;
        resumedAtNanos = 0;
    }

    /** Records that reading resumes; returns whether it was paused. */
    boolean markResumed() {
        boolean wasPaused = pausedSinceNanos != 0 && resumedAtNanos == 0;
        resumedAtNanos = wasPaused ? Clock.now() : resumedAtNanos;
        return wasPaused;
    }

    /**
     * Returns the time since which a disconnect would have gone undetected, or {@link
     * ActionGuard#NEVER} if a disconnect would be detected now.
     */
    long disconnectUndetectableSince(long now) {
        boolean wasPaused =
                pausedSinceNanos != 0
                        && (resumedAtNanos == 0 || now - resumedAtNanos <= RESUME_WINDOW_NANOS);
        long sinceNanos = wasPaused ? pausedSinceNanos : ActionGuard.NEVER;
        return unreadSinceNanos == 0 ? sinceNanos : Math.min(sinceNanos, unreadSinceNanos);
    }

    private void clearPause() {
        pausedSinceNanos = 0;
        resumedAtNanos = 0;
    }

    /** Returns the arrival time of the bytes that were last passed to the decoder. */
    long arrivedAtNanos() {
        return arrivedAtNanos;
    }

    /**
     * Notifies the listener, unless the read limit of this event loop iteration has been reached.
     * In that case no command is started before the next iteration has read further bytes or the
     * disconnect.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean mayHaveMore = readsThisIteration >= maxReadsPerIteration && hasCapacity();
        boolean hasRead = readsThisIteration > 0;
        if (readsThisIteration < maxReadsPerIteration) {
            markAllRead();
        }
        readsThisIteration = 0;
        iterationCount++;
        if (mayHaveMore) {
            awaitNextIteration(iterationCount);
        } else {
            listener.onReadComplete(hasRead);
        }
    }

    /**
     * Waits until the reads of the next event loop iteration are over, which is certain when a task
     * scheduled by a scheduled task runs. If there were no reads until then, all bytes had been
     * read before.
     */
    private void awaitNextIteration(long iteration) {
        context.executor()
                .schedule(
                        () ->
                                context.executor()
                                        .schedule(
                                                () -> {
                                                    if (iteration == iterationCount) {
                                                        markAllRead();
                                                        listener.onReadComplete(true);
                                                    }
                                                },
                                                NEXT_ITERATION_MILLIS,
                                                TimeUnit.MILLISECONDS),
                        NEXT_ITERATION_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void markAllRead() {
        clearPause();
        unreadSinceNanos = 0;
    }

    /**
     * Returns whether reading is not paused and unread bytes may be waiting, which a disconnect may
     * follow.
     */
    boolean mayHaveUnreadBytes() {
        return unreadSinceNanos != 0 && pausedSinceNanos == 0;
    }

    /**
     * Returns whether to continue reading, within the limits of this connection and of all
     * connections together.
     */
    boolean hasCapacity() {
        return isEmpty() || roomBytes() >= ReadSizeLimit.MIN_READ_BYTES;
    }

    /** Returns the number of bytes for which there is room; a read may take at most so many. */
    int roomBytes() {
        long connectionRoomBytes = MAX_BUFFERED_BYTES - buffer.readableBytes();
        return (int) Math.max(0, Math.min(connectionRoomBytes, account.roomBytes()));
    }

    boolean isEmpty() {
        return !buffer.isReadable();
    }

    /**
     * Passes some bytes to the decoder, at most to the end of a command; returns false if there are
     * none.
     *
     * @param missingDataBytes the number of bytes that the decoder needs to complete a data block;
     *     0 if it needs a line
     */
    boolean feedDecoder(int missingDataBytes) {
        if (isEmpty()) {
            return false;
        }
        Arrival first = arrivals.peek();
        int chunkBytes = Math.min(CHUNK_BYTES, first.remainingBytes);
        if (missingDataBytes > 0) {
            chunkBytes = Math.min(chunkBytes, missingDataBytes);
        } else {
            int lineBytes = buffer.bytesBefore(chunkBytes, (byte) '\n') + 1;
            chunkBytes = lineBytes > 0 ? lineBytes : chunkBytes;
        }
        arrivedAtNanos = first.atNanos;
        first.remainingBytes -= chunkBytes;
        if (first.remainingBytes == 0) {
            arrivals.poll();
            account.release(ARRIVAL_BYTES);
        }
        ByteBuf chunk = buffer.readRetainedSlice(chunkBytes);
        if (isEmpty()) {
            releaseBuffer();
        }
        context.fireChannelRead(chunk);
        context.fireChannelReadComplete();
        return true;
    }

    /** Drops all buffered and future bytes, because no further command will be started. */
    void discard() {
        discarding = true;
        releaseBuffer();
    }

    private void releaseBuffer() {
        account.release(buffer.capacity() + arrivals.size() * ARRIVAL_BYTES);
        buffer.release();
        buffer = Unpooled.EMPTY_BUFFER;
        arrivals.clear();
    }
}
