package frostrelay.node.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Collects a decoder's bytes on the heap, in arrays of their own size. What a decoder keeps or
 * passes on then never holds a whole read buffer, however few bytes of it are left.
 */
public final class HeapCumulator implements ByteToMessageDecoder.Cumulator {
    /** The only instance; it has no state. */
    public static final HeapCumulator INSTANCE = new HeapCumulator();

    private HeapCumulator() {}

    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf in) {
        try {
            if (cumulation.refCnt() == 1
                    && !cumulation.isReadOnly()
                    && cumulation.maxFastWritableBytes() >= in.readableBytes()
                    && cumulation.isReadable()) {
                return cumulation.writeBytes(in);
            }
            ByteBuf joined = Unpooled.buffer(cumulation.readableBytes() + in.readableBytes());
            joined.writeBytes(cumulation).writeBytes(in);
            cumulation.release();
            return joined;
        } finally {
            in.release();
        }
    }
}
