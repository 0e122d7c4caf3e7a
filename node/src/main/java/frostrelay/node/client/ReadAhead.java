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
 * Reads a client's connection ahead of what is served from it, as bytes and within a bound: the end
 * of a connection shows only behind all that was sent on it, and its client must be seen to leave
 * while its earlier commands are out. Runs on the event loop.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** Far more than honest clients send at once: hundreds of commands. */
    private static final int MAX_BUFFERED_BYTES = 128 * 1024;

    /** Handed on at a time: as few commands as can be are cut apart before their turn. */
    private static final int CHUNK_BYTES = 4 * 1024;

    /** The loop reads before it runs what falls due after this. */
    private static final long NEXT_TURN_MILLIS = 1;

    /** Bytes that come within this of one another count as having come with the first of them. */
    private static final long SAME_ARRIVAL_NANOS = 5 * Clock.NANOS_PER_MILLISECOND;

    /**
     * What waited while the connection was not read is read within this of its being read again.
     */
    private static final long RESUME_WINDOW_NANOS = 20 * Clock.NANOS_PER_MILLISECOND;

    /** Bytes that have come together. */
    private static final class Arrival {
        final long atNanos;
        int remainingBytes;

        Arrival(long atNanos, int bytes) {
            this.atNanos = atNanos;
            this.remainingBytes = bytes;
        }
    }

    /** Hears of what has come. */
    interface Listener {
        /** Some bytes wait to be {@link #feedDecoder fed}. */
        void onBytesBuffered();

        /**
         * All that had come has been read, or what one turn may read and the next; {@code
         * hasBytes}: something was.
         */
        void onReadComplete(boolean hasBytes);
    }

    /** Bytes that wait, over all connections. */
    static final class BufferedTotal {
        private static final long MAX_TOTAL_BYTES = 2L * 1024 * 1024;
        private long bytes;
    }

    private final Listener listener;
    private final BufferedTotal bufferedTotal;

    /** Reads of one turn of the loop; after so many there may be more. */
    private final int maxReadsPerTurn;

    private ChannelHandlerContext context;
    private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

    /** When the held bytes came, in their order. */
    private final Deque<Arrival> arrivals = new ArrayDeque<>(1);

    /** When the piece came that was handed on last. */
    private long arrivedAtNanos;

    /**
     * Since when nothing was read on purpose, and when that ended; what is read right behind may
     * have come at the first. 0 for neither.
     */
    private long pausedSinceNanos;

    private long resumedAtNanos;

    /** Since when more may have come than was read; 0 while all has been. */
    private long behindSinceNanos;

    private int readsThisTurn;

    /** Turns of the loop in which it was read. */
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

    /** The connection is not read for now: what comes meanwhile has come before it is read. */
    void markPaused() {
        pausedSinceNanos = pausedSinceNanos == 0 ? Clock.now() : pausedSinceNanos;
        resumedAtNanos = 0;
    }

    /** It is read again; true if it was not until now. */
    boolean markResumed() {
        boolean wasPaused = pausedSinceNanos != 0 && resumedAtNanos == 0;
        resumedAtNanos = wasPaused ? Clock.now() : resumedAtNanos;
        return wasPaused;
    }

    /**
     * Since when the end of the connection would not be seen; {@link ActionGuard#NEVER} while it
     * would.
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

    /** When the bytes came that were handed on last. */
    long arrivedAtNanos() {
        return arrivedAtNanos;
    }

    /**
     * Where as much was read as is at once, nothing is begun before the next turn has looked for
     * more, and for the end.
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
     * What a task of this turn schedules runs in the next one, behind its reads: if there were
     * none, all had been read.
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

    /**
     * Whether it is being read and more may have come: the end of the connection may stand right
     * behind.
     */
    boolean isBehind() {
        return behindSinceNanos != 0 && pausedSinceNanos == 0;
    }

    /** Whether to read on: one connection alone, or all together, may leave so much unserved. */
    boolean hasCapacity() {
        return !buffer.isReadable()
                || buffer.readableBytes() < MAX_BUFFERED_BYTES
                        && bufferedTotal.bytes < BufferedTotal.MAX_TOTAL_BYTES;
    }

    boolean isEmpty() {
        return !buffer.isReadable();
    }

    /** Hands some bytes on to be decoded; false if there are none. */
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

    /** From now on nothing that comes is handed on any more, as nothing will be answered. */
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
