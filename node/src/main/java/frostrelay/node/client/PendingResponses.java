package frostrelay.node.client;

import frostrelay.node.proxy.RequestDispatcher;

import java.util.ArrayDeque;
import java.util.Queue;

/** The pending responses of one client connection, in the order of its commands. */
final class PendingResponses {
    /** How far a transfer is behind if nothing is being passed on. */
    static final long NO_TRANSFER = Long.MAX_VALUE;

    /** The limit on pending responses of one connection; further commands wait to be started. */
    private static final int MAX_PIPELINED = 64;

    private final Queue<PendingResponse> queue = new ArrayDeque<>();
    private final OutputQueue output;

    PendingResponses(OutputQueue output) {
        this.output = output;
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

    /** Returns whether the limit is reached, so that no further command may be started for now. */
    boolean isFull() {
        return queue.size() >= MAX_PIPELINED;
    }

    int size() {
        return queue.size();
    }

    /** Returns whether the transfer of the value that is being written has stalled. */
    boolean isStalled(long now) {
        return !queue.isEmpty() && queue.peek().isStalled(now);
    }

    /**
     * Returns by how many nanoseconds the end that is waited for is behind the least pace, as bytes
     * of responses wait for the client or a long value waits for its cache; {@link #NO_TRANSFER} if
     * neither is the case.
     */
    long transferBehindNanos(long now) {
        if (!output.isEmpty()) {
            return output.clientProgress().behindNanos(now);
        }
        return queue.isEmpty() ? NO_TRANSFER : queue.peek().cacheBehindNanos(now);
    }

    /** Continues with the value that is being written after the client has accepted data. */
    void onOutputProgress() {
        if (!queue.isEmpty()) {
            queue.peek().adjustDemand();
        }
    }

    /**
     * Adds the completed responses up to the first one that is still pending to the output, without
     * a flush, and starts to stream a long value after its line. Returns whether any was added.
     */
    boolean writeCompleted() {
        boolean hasWritten = false;
        for (PendingResponse first = queue.peek();
                first != null && first.isReadyToWrite();
                first = queue.peek()) {
            hasWritten = true;
            if (first.hasValueStream()) {
                first.addTo(output);
                first.startStreaming();
            } else {
                queue.poll();
                first.addTo(output);
            }
        }
        return hasWritten;
    }

    /** Releases the data that will not be written, and ends the requests that are still open. */
    void onDisconnect(RequestDispatcher dispatcher) {
        for (PendingResponse pendingResponse : queue) {
            pendingResponse.onDisconnect(dispatcher);
        }
        queue.clear();
    }
}
