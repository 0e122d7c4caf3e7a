package frostrelay.node.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

import java.util.function.IntSupplier;

/**
 * Limits each read of a channel to the room that there is for it at that moment. Without a limit in
 * force, the size of a read adapts to the traffic.
 */
public final class ReadSizeLimit implements RecvByteBufAllocator {
    /** The smallest read, for which a channel that is read at all always has room. */
    public static final int MIN_READ_BYTES = 2 * 1024;

    /** The largest read. */
    public static final int MAX_READ_BYTES = 16 * 1024;

    private static final int SMALLEST_ADAPTIVE_BYTES = 512;

    private final AdaptiveRecvByteBufAllocator adaptive;
    private final IntSupplier roomBytes;

    /**
     * Creates a limit for one channel.
     *
     * @param maxReadsPerIteration the number of reads per event loop iteration
     * @param readsAgainAfterShortRead whether to read until there is nothing left, in order to
     *     detect a disconnect
     * @param roomBytes the number of bytes for which there is room; asked before each read
     */
    public ReadSizeLimit(
            int maxReadsPerIteration, boolean readsAgainAfterShortRead, IntSupplier roomBytes) {
        this.adaptive =
                new AdaptiveRecvByteBufAllocator(
                        SMALLEST_ADAPTIVE_BYTES, MIN_READ_BYTES, MAX_READ_BYTES);
        adaptive.respectMaybeMoreData(!readsAgainAfterShortRead)
                .maxMessagesPerRead(maxReadsPerIteration);
        this.roomBytes = roomBytes;
    }

    @Override
    @SuppressWarnings("deprecation") // The type that the interface declares.
    public Handle newHandle() {
        return new LimitedHandle(adaptive.newHandle());
    }

    private final class LimitedHandle extends DelegatingHandle {
        @SuppressWarnings("deprecation")
        LimitedHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            int allowedBytes = Math.max(MIN_READ_BYTES, roomBytes.getAsInt());
            return Math.min(delegate().guess(), allowedBytes);
        }
    }
}
