package frostrelay.node.proxy;

import frostrelay.node.net.MemoryAccount;

import io.netty.buffer.ByteBuf;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A stream that forwards one long value from a server to a client in chunks, without buffering the
 * whole value: the server's connection is read only while the client accepts chunks. Until the sink
 * is attached, at most the chunks of one read are buffered here. Runs on the event loop.
 */
public final class ValueStream {
    /** The server's side of the stream. */
    public interface Source {
        /** Starts or stops the delivery of further chunks. */
        void setDemand(boolean enabled);

        /** Stops the transfer and discards the rest of the value. */
        void cancel();
    }

    /** The client's side of the stream. */
    public interface Sink {
        /** Takes ownership of a chunk. */
        void onChunk(ByteBuf chunk);

        /** Called after the last chunk of a complete value. */
        void onStreamComplete();

        /**
         * Called when the rest of the value cannot be delivered. The client must be able to detect
         * that the value is truncated.
         */
        void onStreamFailed();
    }

    private enum State {
        OPEN,
        COMPLETE,
        FAILED
    }

    private final Source source;
    private final MemoryAccount account;
    private final Queue<ByteBuf> bufferedChunks = new ArrayDeque<>();
    private Sink sink;
    private State state = State.OPEN;
    private boolean cancelled;

    /**
     * Creates a stream and pauses its source until there is demand.
     *
     * @param account counts the chunks that are buffered here
     */
    public ValueStream(Source source, MemoryAccount account) {
        this.source = source;
        this.account = account;
        source.setDemand(false);
    }

    // Called by the source.

    /** Takes ownership of a chunk. */
    public void addChunk(ByteBuf chunk) {
        if (cancelled) {
            chunk.release();
        } else if (sink == null) {
            account.reserve(chunk.readableBytes());
            bufferedChunks.add(chunk);
        } else {
            sink.onChunk(chunk);
        }
    }

    /** Ends the stream after its last chunk. */
    public void complete() {
        finish(State.COMPLETE);
    }

    /** Ends the stream before the value is complete. */
    public void fail() {
        finish(State.FAILED);
    }

    private void finish(State finalState) {
        if (state == State.OPEN) {
            state = finalState;
            notifyEnd();
        }
    }

    private void notifyEnd() {
        if (sink != null && !cancelled && state == State.COMPLETE) {
            sink.onStreamComplete();
        } else if (sink != null && !cancelled && state == State.FAILED) {
            sink.onStreamFailed();
        }
    }

    // Called by the sink.

    /** Attaches the sink, which immediately receives the buffered chunks. */
    public void attach(Sink newSink) {
        sink = newSink;
        for (ByteBuf chunk = bufferedChunks.poll(); chunk != null; chunk = bufferedChunks.poll()) {
            account.release(chunk.readableBytes());
            newSink.onChunk(chunk);
        }
        notifyEnd();
    }

    /** Starts or stops the delivery of further chunks. */
    public void setDemand(boolean enabled) {
        if (state == State.OPEN && !cancelled) {
            source.setDemand(enabled);
        }
    }

    /** Cancels the transfer and releases the buffered chunks. */
    public void cancel() {
        if (cancelled) {
            return;
        }
        cancelled = true;
        for (ByteBuf chunk = bufferedChunks.poll(); chunk != null; chunk = bufferedChunks.poll()) {
            account.release(chunk.readableBytes());
            chunk.release();
        }
        if (state == State.OPEN) {
            source.cancel();
        }
    }
}
