package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.time.Clock;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Reads a client's connection ahead of the commands that are served from it, as bytes and within a
 * bound: a disconnect is read only behind all bytes sent before it, and must be detected while
 * earlier commands are in flight. Runs on the event loop.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** More than well-behaved clients send at once: hundreds of commands. */
    private static final int MAX_BUFFERED_BYTES = 128 * 1024;

    /** Passed to the decoder at a time, so that few commands are decoded before their turn. */
    private static final int CHUNK_BYTES = 4 * 1024;

    /** The loop reads its sockets before it runs a task with this delay. */
    private static final long NEXT_TURN_MILLIS = 1;

    /** Bytes that arrive within this time count as having arrived with the first of them. */
    private static final long SAME_ARRIVAL_NANOS = 5 * Clock.NANOS_PER_MILLISECOND;

    /** After reading resumes, bytes that had arrived during the pause are read within this time. */
    private static final long RESUME_WINDOW_NANOS = 20 * Clock.NANOS_PER_MILLISECOND;

    /** Bytes that arrived together. */
    private static final class Arrival {
        final long atNanos;
        int remainingBytes;

        Arrival(long atNanos, int bytes) {
            this.atNanos = atNanos;
            this.remainingBytes = bytes;
        }
    }

    /** Is notified of what has been read. */
    interface Listener {
        /** Bytes wait for {@link #feedDecoder}. */
        void onBytesBuffered();

        /**
         * All that had arrived has been read, or as much as this turn of the loop and the next may
         * read.
         *
         * @param hasBytes whether anything was read
         */
        void onReadComplete(boolean hasBytes);
    }

    /** Bytes that wait for a decoder, over all connections. */
    static final class BufferedTotal {
        private static final long MAX_TOTAL_BYTES = 2L * 1024 * 1024;
        private long bytes;
    }

    private final Listener listener;
    private final BufferedTotal bufferedTotal;

    /** Reads per turn of the loop; after this many more bytes may be waiting. */
    private final int maxReadsPerTurn;

    private ChannelHandlerContext context;
    private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

    /** When the buffered bytes arrived, in their order. */
    private final Deque<Arrival> arrivals = new ArrayDeque<>(1);

    /** When the bytes that were passed on last had arrived. */
    private long arrivedAtNanos;

    /**
     * When reading was paused, and when it resumed; bytes read shortly after may have arrived at
     * any time since the pause began. 0 for neither.
     */
    private long pausedSinceNanos;

    private long resumedAtNanos;

    /** Since when unread bytes may have been waiting; 0 while all are read. */
    private long behindSinceNanos;

    private int readsThisTurn;

    /** Turns of the loop in which this connection was read. */
    private long turnCount;

    private boolean discarding;

    ReadAhead(Listener listener, BufferedTotal bufferedTotal, int maxReadsPerTurn) {
        this.listener = listener;
        this.bufferedTotal = bufferedTotal;
        this.maxReadsPerTurn = maxReadsPerTurn;
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
        readsThisTurn++;
        behindSinceNanos = behindSinceNanos == 0 ? Clock.now() : behindSinceNanos;
        if (discarding) {
            bytes.release();
            return;
        }
        bufferedTotal.bytes += bytes.readableBytes();
        recordArrival(bytes.readableBytes());
        buffer = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), buffer, bytes);
        listener.onBytesBuffered();
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
        }
    }

    /** Reading is paused: bytes that arrive meanwhile count from the start of the pause. */
    void markPaused() {
        pausedSinceNanos = pausedSinceNanos == 0 ? Clock.now() : pausedSinceNanos;
        resumedAtNanos = 0;
    }

    /** Reading resumes; true if it was paused. */
    boolean markResumed() {
        boolean wasPaused = pausedSinceNanos != 0 && resumedAtNanos == 0;
        resumedAtNanos = wasPaused ? Clock.now() : resumedAtNanos;
        return wasPaused;
    }

    /**
     * Since when a disconnect would have gone undetected; {@link ActionGuard#NEVER} while it would
     * be detected.
     */
    long disconnectUndetectableSince(long now) {
        boolean wasPaused =
                pausedSinceNanos != 0
                        && (resumedAtNanos == 0 || now - resumedAtNanos <= RESUME_WINDOW_NANOS);
        long sinceNanos = wasPaused ? pausedSinceNanos : ActionGuard.NEVER;
        return behindSinceNanos == 0 ? sinceNanos : Math.min(sinceNanos, behindSinceNanos);
    }

    private void clearPause() {
        pausedSinceNanos = 0;
        resumedAtNanos = 0;
    }

    /** When the bytes that were passed to the decoder last had arrived. */
    long arrivedAtNanos() {
        return arrivedAtNanos;
    }

    /**
     * Where this turn has read as much as it may, no command is begun before the next turn has read
     * more bytes, or the disconnect.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean mayHaveMore = readsThisTurn >= maxReadsPerTurn && hasCapacity();
        boolean hasRead = readsThisTurn > 0;
        if (readsThisTurn < maxReadsPerTurn) {
            markCaughtUp();
        }
        readsThisTurn = 0;
        turnCount++;
        if (mayHaveMore) {
            awaitNextTurn(turnCount);
        } else {
            listener.onReadComplete(hasRead);
        }
    }

    /**
     * A task that a scheduled task schedules runs after the reads of the next turn: if there were
     * none by then, all bytes had been read.
     */
    private void awaitNextTurn(long turn) {
        context.executor()
                .schedule(
                        () ->
                                context.executor()
                                        .schedule(
                                                () -> {
                                                    if (turn == turnCount) {
                                                        markCaughtUp();
                                                        listener.onReadComplete(true);
                                                    }
                                                },
                                                NEXT_TURN_MILLIS,
                                                TimeUnit.MILLISECONDS),
                        NEXT_TURN_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void markCaughtUp() {
        clearPause();
        behindSinceNanos = 0;
    }

    /** Whether reading is not paused and unread bytes may wait, with the disconnect behind them. */
    boolean isBehind() {
        return behindSinceNanos != 0 && pausedSinceNanos == 0;
    }

    /** Whether to read on, within the limits of this connection and of all together. */
    boolean hasCapacity() {
        return !buffer.isReadable()
                || buffer.readableBytes() < MAX_BUFFERED_BYTES
                        && bufferedTotal.bytes < BufferedTotal.MAX_TOTAL_BYTES;
    }

    boolean isEmpty() {
        return !buffer.isReadable();
    }

    /** Passes some bytes to the decoder; false if there are none. */
    boolean feedDecoder() {
        if (isEmpty()) {
            return false;
        }
        Arrival first = arrivals.peek();
        int chunkBytes = Math.min(CHUNK_BYTES, first.remainingBytes);
        arrivedAtNanos = first.atNanos;
        first.remainingBytes -= chunkBytes;
        if (first.remainingBytes == 0) {
            arrivals.poll();
        }
        ByteBuf chunk = buffer.readRetainedSlice(chunkBytes);
        bufferedTotal.bytes -= chunkBytes;
        if (isEmpty()) {
            releaseBuffer();
        }
        context.fireChannelRead(chunk);
        context.fireChannelReadComplete();
        return true;
    }

    /** From now on drops all bytes, as no command will be answered any more. */
    void discard() {
        discarding = true;
        releaseBuffer();
    }

    private void releaseBuffer() {
        bufferedTotal.bytes -= buffer.readableBytes();
        buffer.release();
        buffer = Unpooled.EMPTY_BUFFER;
        arrivals.clear();
    }
}
