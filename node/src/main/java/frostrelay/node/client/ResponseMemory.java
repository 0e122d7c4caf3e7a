package frostrelay.node.client;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

/**
 * A count of the response bytes of all connections that have not been written to the clients'
 * sockets, with their limits. Runs on the event loop.
 */
final class ResponseMemory {
    /** The limit on unwritten bytes of complete responses. */
    private static final long MAX_UNREAD_BYTES = 8L * 1024 * 1024;

    /** The limit on unwritten bytes of long values, above which their servers are not read. */
    private static final long MAX_STREAMED_BYTES = 6L * 1024 * 1024;

    private long unreadBytes;
    private long streamedBytes;

    void addUnread(int bytes) {
        unreadBytes += bytes;
    }

    void removeUnread(int bytes) {
        unreadBytes -= bytes;
    }

    boolean isUnreadLimitExceeded() {
        return unreadBytes > MAX_UNREAD_BYTES;
    }

    void addStreamed(int bytes) {
        streamedBytes += bytes;
    }

    void removeStreamed(int bytes) {
        streamedBytes -= bytes;
    }

    boolean hasStreamingCapacity() {
        return streamedBytes < MAX_STREAMED_BYTES;
    }

    /**
     * Returns a listener that removes the bytes of a response, added as unread before, when its
     * write has ended.
     */
    ChannelFutureListener removeWhenWritten(int bytes) {
        return new WriteListener(bytes);
    }

    /** A class rather than a lambda, because creating a lambda is slow without the C2 compiler. */
    private final class WriteListener implements ChannelFutureListener {
        private final int bytes;

        WriteListener(int bytes) {
            this.bytes = bytes;
        }

        @Override
        public void operationComplete(ChannelFuture done) {
            removeUnread(bytes);
        }
    }
}
