package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.CloseReason;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;

import io.netty.channel.Channel;

/** How far the end of one client connection has come, and why this end closes it. */
final class ConnectionLifecycle {
    private final Counters counters;
    private final ActionGuard guard;
    private ConnectionState state = ConnectionState.OPEN;

    /** Why this end closes the connection; null while it does not. */
    private CloseReason closeReason;

    ConnectionLifecycle(Counters counters, ActionGuard guard) {
        this.counters = counters;
        this.guard = guard;
    }

    ConnectionState state() {
        return state;
    }

    CloseReason closeReason() {
        return closeReason;
    }

    /** Sets why this end closes the connection; the first reason stays. */
    void setCloseReason(CloseReason reason) {
        closeReason = closeReason == null ? reason : closeReason;
    }

    /** A value was broken off; this replaces any earlier reason. */
    void onValueBroken() {
        closeReason = CloseReason.VALUE_BROKEN;
    }

    /** From now on no command is begun. */
    void startClosing(CloseReason reason) {
        if (state == ConnectionState.OPEN) {
            state = ConnectionState.CLOSING;
        }
        setCloseReason(reason);
    }

    void onOutputClosing() {
        state = ConnectionState.OUTPUT_CLOSING;
    }

    void onOutputShutdown() {
        if (state == ConnectionState.OUTPUT_CLOSING) {
            state = ConnectionState.OUTPUT_SHUT_DOWN;
        }
    }

    /** The connection was not admitted and is closed at once. */
    void onNotAdmitted() {
        counters.recordClose(CloseReason.CONNECTION_REJECTED);
        state = ConnectionState.DISCONNECTED;
    }

    /** The channel is closed. Counts and logs the end of a connection that was admitted. */
    void onDisconnect(Channel channel, int pendingResponseCount) {
        if (state == ConnectionState.DISCONNECTED) {
            return;
        }
        state = ConnectionState.DISCONNECTED;
        CloseReason reason = closeReason == null ? CloseReason.CLIENT_CLOSED : closeReason;
        counters.recordClose(reason);
        if (Log.isEnabled(Event.CLIENT_CLOSED)) {
            Log.write(Event.CLIENT_CLOSED, channel.remoteAddress(), reason, pendingResponseCount);
        }
    }

    /** Why a connection is closed that is over the connection limit or to be drained. */
    CloseReason gracefulCloseReason() {
        if (!guard.isDraining()) {
            return CloseReason.OVER_CONNECTION_LIMIT;
        }
        return guard.isShuttingDown() ? CloseReason.SHUTTING_DOWN : CloseReason.DRAINING;
    }

    /**
     * Records a violation where this end drops commands that were read: only a client that broke
     * the protocol or disconnected may lose them.
     */
    void recordUnanswered(CloseReason reason, int pendingResponseCount, int receivedCommandCount) {
        if (reason.isInitiatedLocally()) {
            counters.recordViolation(
                    InvariantViolation.CLOSED_UNANSWERED,
                    reason
                            + ": "
                            + pendingResponseCount
                            + " open, "
                            + receivedCommandCount
                            + " read");
        }
    }
}
