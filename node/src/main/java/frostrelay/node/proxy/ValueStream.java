package frostrelay.node.proxy;

import io.netty.buffer.ByteBuf;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * One long value on its way from a server to a client, in chunks that neither end collects: the
 * server is read only while the client takes them. Until the client's end is attached, at most the
 * chunks of one read are buffered here. Runs on the event loop.
 */
public final class ValueStream {
    /** The server's end. */
    public interface Source {
        /** Whether further chunks are wanted now. */
        void setDemand(boolean wantsMore);

        /** The rest is not wanted. */
        void cancel();
    }

    /** The client's end. */
    public interface Sink {
        /** Takes ownership of a chunk. */
        void onChunk(ByteBuf chunk);

        /** The value is complete. */
        void onStreamComplete();

        /** The rest will never arrive, which the client must be able to recognise. */
        void onStreamFailed();
    }

    private enum State {
        OPEN,
        COMPLETE,
        FAILED
    }

    private final Source source;
    private final Queue<ByteBuf> bufferedChunks = new ArrayDeque<>();
    private Sink sink;
    private State state = State.OPEN;
    private boolean cancelled;

    /** Creates a stream and stops its source until there is demand. */
    public ValueStream(Source source) {
        this.source = source;
        source.setDemand(false);
    }

    // Called by the server's end.

    /** Takes ownership of a chunk. */
    public void addChunk(ByteBuf chunk) {
        if (cancelled) {
            chunk.release();
        } else if (sink == null) {
            bufferedChunks.add(chunk);
        } else {
            sink.onChunk(chunk);
        }
    }

    /** All chunks have been added. */
    public void complete() {
        finish(State.COMPLETE);
    }

    /** No further chunk will arrive. */
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

    // Called by the client's end.

    /** Attaches the client's end, which receives the buffered chunks at once. */
    public void attach(Sink newSink) {
        sink = newSink;
        for (ByteBuf chunk = bufferedChunks.poll(); chunk != null; chunk = bufferedChunks.poll()) {
            newSink.onChunk(chunk);
        }
        notifyEnd();
    }

    /** Whether further chunks are wanted now. */
    public void setDemand(boolean wantsMore) {
        if (state == State.OPEN && !cancelled) {
            source.setDemand(wantsMore);
        }
    }

    /** Drops the rest; the client does not want it. */
    public void cancel() {
        if (cancelled) {
            return;
        }
        cancelled = true;
        bufferedChunks.forEach(ByteBuf::release);
        bufferedChunks.clear();
        if (state == State.OPEN) {
            source.cancel();
        }
    }
}
