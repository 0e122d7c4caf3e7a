package frostrelay.node;

import frostrelay.lifecycle.ActionGuard;

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
    private static final int MOST = 128 * 1024;

    /** Handed on at a time: as few commands as can be are cut apart before their turn. */
    private static final int PIECE = 4 * 1024;

    /** The loop reads before it runs what falls due after this. */
    private static final long NEXT_TURN_MS = 1;

    /** Bytes that come within this of one another count as having come with the first of them. */
    private static final long AT_ONCE_NS = 5 * Clock.MILLISECOND;

    /**
     * What waited while the connection was not read is read within this of its being read again.
     */
    private static final long RESUME_NS = 20 * Clock.MILLISECOND;

    /** Bytes that have come together. */
    private static final class Arrival {
        final long at;
        int left;

        Arrival(long at, int bytes) {
            this.at = at;
            this.left = bytes;
        }
    }

    /** Hears of what has come. */
    interface Listener {
        /** Some bytes wait to be {@link #feed fed}. */
        void onBytes();

        /**
         * All that had come has been read, or what one turn may read and the next; {@code bytes}:
         * something was.
         */
        void onRead(boolean bytes);
    }

    /** Bytes that wait, over all connections. */
    static final class Total {
        private static final long MOST_ALL = 2L * 1024 * 1024;
        private long bytes;
    }

    private final Listener listener;
    private final Total total;

    /** Reads of one turn of the loop; after so many there may be more. */
    private final int readsAtOnce;

    private ChannelHandlerContext context;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;

    /** When the held bytes came, in their order. */
    private final Deque<Arrival> arrivals = new ArrayDeque<>(1);

    /** When the piece came that was handed on last. */
    private long arrivedAt;

    /**
     * Since when nothing was read on purpose, and when that ended; what is read right behind may
     * have come at the first. 0 for neither.
     */
    private long restsSince;

    private long resumedAt;

    /** Since when more may have come than was read; 0 while all has been. */
    private long behindSince;

    private int reads;

    /** Turns of the loop in which it was read. */
    private long turns;

    private boolean discards;

    ReadAhead(Listener listener, Total total, int readsAtOnce) {
        this.listener = listener;
        this.total = total;
        this.readsAtOnce = readsAtOnce;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        drop();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        reads++;
        behindSince = behindSince == 0 ? Clock.now() : behindSince;
        if (discards) {
            bytes.release();
            return;
        }
        total.bytes += bytes.readableBytes();
        note(bytes.readableBytes());
        held = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), held, bytes);
        listener.onBytes();
    }

    private void note(int bytes) {
        long now = Clock.now();
        if (resumedAt != 0 && now - resumedAt > RESUME_NS) {
            forgetRest();
        }
        long at = restsSince == 0 ? now : restsSince;
        Arrival last = arrivals.peekLast();
        if (last != null && at - last.at < AT_ONCE_NS) {
            last.left += bytes;
        } else {
            arrivals.add(new Arrival(at, bytes));
        }
    }

    /** The connection is not read for now: what comes meanwhile has come before it is read. */
    void rests() {
        restsSince = restsSince == 0 ? Clock.now() : restsSince;
        resumedAt = 0;
    }

    /** It is read again; true if it was not until now. */
    boolean resumes() {
        boolean rested = restsSince != 0 && resumedAt == 0;
        resumedAt = rested ? Clock.now() : resumedAt;
        return rested;
    }

    /**
     * Since when the end of the connection would not be seen; {@link ActionGuard#NEVER} while it
     * would.
     */
    long unseenSince(long now) {
        boolean rested = restsSince != 0 && (resumedAt == 0 || now - resumedAt <= RESUME_NS);
        long since = rested ? restsSince : ActionGuard.NEVER;
        return behindSince == 0 ? since : Math.min(since, behindSince);
    }

    private void forgetRest() {
        restsSince = 0;
        resumedAt = 0;
    }

    /** When the bytes came that were handed on last. */
    long arrivedAt() {
        return arrivedAt;
    }

    /**
     * Where as much was read as is at once, nothing is begun before the next turn has looked for
     * more, and for the end.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean more = reads >= readsAtOnce && hasRoom();
        boolean some = reads > 0;
        if (reads < readsAtOnce) {
            caughtUp();
        }
        reads = 0;
        turns++;
        if (more) {
            awaitNextTurn(turns);
        } else {
            listener.onRead(some);
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
                                                    if (turn == turns) {
                                                        caughtUp();
                                                        listener.onRead(true);
                                                    }
                                                },
                                                NEXT_TURN_MS,
                                                TimeUnit.MILLISECONDS),
                        NEXT_TURN_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void caughtUp() {
        forgetRest();
        behindSince = 0;
    }

    /**
     * Whether it is being read and more may have come: the end of the connection may stand right
     * behind.
     */
    boolean isBehind() {
        return behindSince != 0 && restsSince == 0;
    }

    /** Whether to read on: one connection alone, or all together, may leave so much unserved. */
    boolean hasRoom() {
        return !held.isReadable() || held.readableBytes() < MOST && total.bytes < Total.MOST_ALL;
    }

    boolean isEmpty() {
        return !held.isReadable();
    }

    /** Hands some bytes on to be decoded; false if there are none. */
    boolean feed() {
        if (isEmpty()) {
            return false;
        }
        Arrival first = arrivals.peek();
        int some = Math.min(PIECE, first.left);
        arrivedAt = first.at;
        first.left -= some;
        if (first.left == 0) {
            arrivals.poll();
        }
        ByteBuf piece = held.readRetainedSlice(some);
        total.bytes -= some;
        if (isEmpty()) {
            drop();
        }
        context.fireChannelRead(piece);
        context.fireChannelReadComplete();
        return true;
    }

    /** From now on nothing that comes is handed on any more, as nothing will be answered. */
    void discard() {
        discards = true;
        drop();
    }

    private void drop() {
        total.bytes -= held.readableBytes();
        held.release();
        held = Unpooled.EMPTY_BUFFER;
        arrivals.clear();
    }
}
