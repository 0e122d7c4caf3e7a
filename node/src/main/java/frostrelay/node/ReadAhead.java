package frostrelay.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.concurrent.TimeUnit;

/**
 * Reads a client's connection ahead of what is served from it, as bytes and within a bound: the end of a connection shows
 * only behind all that was sent on it, and its client must be seen to leave while its earlier commands are out. Runs on the
 * event loop.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** Far more than honest clients send at once: hundreds of commands. */
    private static final int MOST = 128 * 1024;
    /** Handed on at a time: as few commands as can be are cut apart before their turn. */
    private static final int PIECE = 4 * 1024;

    /** The loop reads before it runs what falls due after this. */
    private static final long NEXT_TURN_MS = 1;

    /** Hears of what has come. */
    interface Listener {
        /** Some bytes wait to be {@link #feed fed}. */
        void onBytes();

        /** All that had come has been read, or what one turn may read and the next; {@code bytes}: something was. */
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
    private int reads;
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
        if (discards) {
            bytes.release();
            return;
        }
        total.bytes += bytes.readableBytes();
        held = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), held, bytes);
        listener.onBytes();
    }

    /** Where as much was read as is at once, the end of the connection may stand right behind: the next turn looks for it first. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean more = reads >= readsAtOnce && hasRoom();
        boolean some = reads > 0;
        reads = 0;
        if (more) {
            ctx.executor().schedule(() -> listener.onRead(true), NEXT_TURN_MS, TimeUnit.MILLISECONDS);
        } else {
            listener.onRead(some);
        }
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
        int some = Math.min(PIECE, held.readableBytes());
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
    }
}
