package frostrelay.node;

import io.netty.buffer.ByteBuf;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * One long value on its way from a host to a client, in pieces that neither end gathers: the host
 * is read only while the client takes what comes. Until the client's end is attached, and its turn
 * has come, at most what one read brought waits here.
 */
final class ValueStream {
    /** The host's end. */
    interface Source {
        /** Whether further pieces are wanted now. */
        void demand(boolean more);

        /** Nobody wants the rest. */
        void cancel();
    }

    /** The client's end. */
    interface Sink {
        /** Takes over a piece. */
        void piece(ByteBuf piece);

        /** The value is whole. */
        void end();

        /** The rest will never come: the client must be able to tell. */
        void broken();
    }

    private enum State {
        OPEN,
        WHOLE,
        BROKEN
    }

    private final Source source;
    private final Queue<ByteBuf> early = new ArrayDeque<>();
    private Sink sink;
    private State state = State.OPEN;
    private boolean cancelled;

    ValueStream(Source source) {
        this.source = source;
        source.demand(false);
    }

    // From the host's end.

    /** Takes over a piece. */
    void piece(ByteBuf piece) {
        if (cancelled) {
            piece.release();
        } else if (sink == null) {
            early.add(piece);
        } else {
            sink.piece(piece);
        }
    }

    void end() {
        finish(State.WHOLE);
    }

    void broken() {
        finish(State.BROKEN);
    }

    private void finish(State end) {
        if (state == State.OPEN) {
            state = end;
            tellEnd();
        }
    }

    private void tellEnd() {
        if (sink != null && !cancelled && state == State.WHOLE) {
            sink.end();
        } else if (sink != null && !cancelled && state == State.BROKEN) {
            sink.broken();
        }
    }

    // From the client's end.

    /** The client's turn has come: from now on pieces go there. */
    void attach(Sink to) {
        sink = to;
        for (ByteBuf piece = early.poll(); piece != null; piece = early.poll()) {
            to.piece(piece);
        }
        tellEnd();
    }

    void demand(boolean more) {
        if (state == State.OPEN && !cancelled) {
            source.demand(more);
        }
    }

    /** The client does not want the rest. */
    void cancel() {
        if (cancelled) {
            return;
        }
        cancelled = true;
        early.forEach(ByteBuf::release);
        early.clear();
        if (state == State.OPEN) {
            source.cancel();
        }
    }
}
