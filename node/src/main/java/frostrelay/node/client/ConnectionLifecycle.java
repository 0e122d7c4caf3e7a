package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.CloseReason;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;

import io.netty.channel.Channel;

/** The closing state of a client connection, and the reason if the close was initiated locally. */
final class ConnectionLifecycle {
    private final Counters counters;
    private final ActionGuard guard;
    private ConnectionState state = ConnectionState.OPEN;

    /** The reason for a close by this process; null if it has not started one. */
    private CloseReason closeReason;

    ConnectionLifecycle(Counters counters, ActionGuard guard) {
        this.counters = counters;
        this.guard = guard;
    }

    ConnectionState state() {
        return state;
    }

    /**
     * Sets the reason for which this process closes the connection, unless a reason is already set.
     */
    void setCloseReason(CloseReason reason) {
        closeReason = closeReason == null ? reason : closeReason;
    }

    /** Sets the close reason after a truncated value, replacing any earlier reason. */
    void onValueTruncated() {
        closeReason = CloseReason.VALUE_BROKEN;
    }

    /** Starts closing the connection, after which no command is started. */
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

    /** Records that the connection was not admitted and is closed immediately. */
    void onNotAdmitted() {
        counters.recordClose(CloseReason.CONNECTION_REJECTED);
        state = ConnectionState.DISCONNECTED;
    }

    /**
     * Counts and logs the close of a connection that was admitted. Called when the channel has been
     * closed.
     */
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

    /**
     * Returns the reason for closing a connection that exceeds the connection limit or is to be
     * drained.
     */
    CloseReason gracefulCloseReason() {
        if (!guard.isDraining()) {
            return CloseReason.OVER_CONNECTION_LIMIT;
        }
        return guard.isShuttingDown() ? CloseReason.SHUTTING_DOWN : CloseReason.DRAINING;
    }

    /** Drops the commands that have not been started, because the connection is being closed. */
    void discard(CommandQueue commands, PendingResponses pendingResponses) {
        if (!commands.isEmpty()) {
            recordUnanswered(closeReason, pendingResponses, commands);
        }
        commands.discard();
    }

    /**
     * Records a violation if a close initiated by this process drops received commands. Commands
     * may be dropped only if the client violated the protocol or disconnected.
     */
    void recordUnanswered(
            CloseReason reason, PendingResponses pendingResponses, CommandQueue commands) {
        if (reason.isInitiatedLocally()) {
            counters.recordViolation(
                    InvariantViolation.CLOSED_UNANSWERED,
                    reason
                            + ": "
                            + pendingResponses.size()
                            + " pending responses and "
                            + commands.decodedCount()
                            + " unstarted commands dropped");
        }
    }
}
