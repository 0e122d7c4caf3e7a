package frostrelay.node.client;

import frostrelay.node.proxy.RequestDispatcher;

import io.netty.channel.socket.SocketChannel;

import java.util.ArrayDeque;
import java.util.Queue;

/** The responses that are due on one client connection, in the order of its commands. */
final class PendingResponses {
    /** Requests of one connection that may be open at once; further ones wait to be begun. */
    private static final int MAX_PIPELINED = 64;

    private final Queue<PendingResponse> queue = new ArrayDeque<>();
    private final SocketChannel channel;
    private final ResponseMemory responseMemory;

    PendingResponses(SocketChannel channel, ResponseMemory responseMemory) {
        this.channel = channel;
        this.responseMemory = responseMemory;
    }

    void add(PendingResponse pendingResponse) {
        queue.add(pendingResponse);
    }

    void remove(PendingResponse pendingResponse) {
        queue.remove(pendingResponse);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Whether no further command is to be begun for now. */
    boolean isFull() {
        return queue.size() >= MAX_PIPELINED;
    }

    int size() {
        return queue.size();
    }

    /** Whether the value that is being written has stalled. */
    boolean isStalled(long now) {
        return !queue.isEmpty() && queue.peek().isStalled(now);
    }

    void onWritabilityChanged() {
        if (!queue.isEmpty()) {
            queue.peek().adjustDemand();
        }
    }

    /**
     * Writes, without a flush, the responses that no earlier one has to precede; a long value
     * starts to follow its line. Returns whether there were any.
     */
    boolean writeCompleted() {
        boolean hasWritten = false;
        for (PendingResponse first = queue.peek();
                first != null && first.isReadyToWrite();
                first = queue.peek()) {
            hasWritten = true;
            if (first.hasValueStream()) {
                write(first);
                first.startStreaming();
            } else {
                queue.poll();
                write(first);
            }
        }
        return hasWritten;
    }

    private void write(PendingResponse pendingResponse) {
        int responseBytes = pendingResponse.response().readableBytes();
        channel.write(pendingResponse.response())
                .addListener(responseMemory.removeWhenWritten(responseBytes));
    }

    /** Releases what will not be written, and gives up the requests that are still open. */
    void onDisconnect(RequestDispatcher dispatcher) {
        for (PendingResponse pendingResponse : queue) {
            pendingResponse.onDisconnect(dispatcher);
        }
        queue.clear();
    }
}
