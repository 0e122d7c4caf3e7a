package frostrelay.node.client;

import frostrelay.node.memcache.MetaDecoder;
import frostrelay.node.memcache.MetaFrame;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The commands of a connection that have not been started, as bytes or decoded. Bytes are decoded
 * only when their command is about to be started. Runs on the event loop.
 */
final class CommandQueue {
    private final ReadAhead readAhead;
    private final MetaDecoder decoder;
    private final Queue<ReceivedCommand> decoded = new ArrayDeque<>(1);

    CommandQueue(ReadAhead readAhead, MetaDecoder decoder) {
        this.readAhead = readAhead;
        this.decoder = decoder;
    }

    /** Adds a command that the decoder has delivered. */
    void addDecoded(MetaFrame frame) {
        decoded.add(new ReceivedCommand(frame, readAhead.arrivedAtNanos()));
    }

    /** Returns the next command, or null if none is complete. */
    ReceivedCommand poll() {
        while (decoded.isEmpty() && readAhead.feedDecoder(decoder.missingDataBytes())) {
            // The decoder calls addDecoded when a command is complete.
        }
        return decoded.poll();
    }

    /** Returns whether neither a command nor bytes wait to be started or decoded. */
    boolean isEmpty() {
        return decoded.isEmpty() && readAhead.isEmpty();
    }

    /** Returns whether the last command that was decoded is followed by a part of another one. */
    boolean endsInPartialCommand() {
        return isEmpty() && !decoder.isAtFrameBoundary();
    }

    /** Returns the number of decoded commands. */
    int decodedCount() {
        return decoded.size();
    }

    /** Drops everything that has been received, and that will be. */
    void discard() {
        decoded.clear();
        readAhead.discard();
    }
}
