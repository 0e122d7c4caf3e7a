package frostrelay.node.client;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

/**
 * Counts the response bytes, over all connections, that clients have not taken yet, against their
 * limits. Runs on the event loop.
 */
final class ResponseMemory {
    /** Bytes of complete responses that clients may leave unread. */
    private static final long MAX_UNREAD_BYTES = 8L * 1024 * 1024;

    /** Bytes of long values that may wait for clients before servers are no longer read. */
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

    /** A listener for the write of a response that was added as unread. */
    ChannelFutureListener removeWhenWritten(int bytes) {
        return new WriteListener(bytes);
    }

    /** A class rather than a lambda, which is slow to make without the second compiler. */
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
