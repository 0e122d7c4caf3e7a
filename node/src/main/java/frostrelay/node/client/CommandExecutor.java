package frostrelay.node.client;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.memcache.MalformedCommandException;
import frostrelay.node.memcache.MetaCommand;
import frostrelay.node.memcache.MetaCommandParser;
import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.metrics.CloseReason;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.RejectionReason;
import frostrelay.node.proxy.IdInUseException;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.time.Clock;

/** Executes the commands of one client connection and counts its protocol errors. */
final class CommandExecutor {
    /** The time for which a connection is not read after a protocol error. */
    private static final long PROTOCOL_ERROR_PAUSE_MILLIS = 50;

    /** The number of protocol errors after which a connection is closed. */
    private static final int MAX_PROTOCOL_ERRORS = 8;

    private final ClientConnection connection;
    private final ReadPauses readPauses;
    private final RequestDispatcher dispatcher;
    private final Counters counters;
    private final ActionGuard guard;
    private boolean hasSentValidCommand;
    private int protocolErrorCount;

    CommandExecutor(
            ClientConnection connection,
            ReadPauses readPauses,
            RequestDispatcher dispatcher,
            Counters counters,
            ActionGuard guard) {
        this.connection = connection;
        this.readPauses = readPauses;
        this.dispatcher = dispatcher;
        this.counters = counters;
        this.guard = guard;
    }

    boolean hasSentValidCommand() {
        return hasSentValidCommand;
    }

    /** Returns whether the client has sent at least one valid command and no invalid one. */
    boolean isProven() {
        return hasSentValidCommand && protocolErrorCount == 0;
    }

    /** Executes a command. The response is given immediately or when the request is completed. */
    void execute(PendingResponse pendingResponse, ReceivedCommand received) {
        MetaFrame frame = received.frame();
        if (frame.errorResponse() != null) {
            rejectMalformed(pendingResponse, frame.errorResponse(), frame.endsStream());
            return;
        }
        switch (frame.tokens().get(0)) {
            case "mg", "ms" -> executeRequest(pendingResponse, received);
            case "mn" -> executeNoOp(pendingResponse);
            case "quit" -> connection.quit(pendingResponse);
            default -> rejectMalformed(pendingResponse, "ERROR", false);
        }
    }

    private void executeNoOp(PendingResponse pendingResponse) {
        hasSentValidCommand = true;
        boolean isDraining = guard.isDraining() && !guard.isShuttingDown();
        pendingResponse.respond(isDraining ? "SERVER_ERROR draining\r\n" : "MN\r\n", null);
    }

    private void executeRequest(PendingResponse pendingResponse, ReceivedCommand received) {
        RejectionReason rejection = rejectionReason(Clock.now());
        if (rejection != null) {
            counters.rejected(rejection);
            pendingResponse.respond("SERVER_ERROR busy\r\n", null);
            return;
        }
        try {
            MetaCommand command =
                    MetaCommandParser.parse(received.frame(), dispatcher.deploymentSettings());
            pendingResponse.setCommand(command);
            pendingResponse.setActiveRequest(
                    dispatcher.accept(command, received.arrivedAtNanos(), pendingResponse));
            hasSentValidCommand = true;
        } catch (MalformedCommandException e) {
            rejectMalformed(pendingResponse, e.getMessage(), false);
        } catch (IdInUseException e) {
            rejectMalformed(pendingResponse, "CLIENT_ERROR " + e.getMessage(), false);
        }
    }

    /**
     * Returns the reason for which requests of this connection are currently rejected, or null if
     * they are accepted.
     */
    private RejectionReason rejectionReason(long now) {
        if (connection.isOverCapacity()) {
            return RejectionReason.NO_CONNECTION_CAPACITY;
        }
        if (!guard.mayAccept(now)) {
            return RejectionReason.NOT_ACCEPTING;
        }
        return guard.isClientUnobserved(now, connection.disconnectUndetectableSince(now))
                ? RejectionReason.CLIENT_UNOBSERVED
                : null;
    }

    /**
     * Responds to a malformed command. After a framing error the connection is closed; after any
     * other error reading pauses, so that a client that repeats the error immediately does not take
     * processing time from other clients.
     */
    private void rejectMalformed(
            PendingResponse pendingResponse, String errorResponse, boolean endsStream) {
        counters.malformed++;
        protocolErrorCount++;
        if (endsStream || protocolErrorCount >= MAX_PROTOCOL_ERRORS) {
            connection.closeAfterResponses(CloseReason.PROTOCOL_ERROR);
        }
        readPauses.pause(PROTOCOL_ERROR_PAUSE_MILLIS);
        pendingResponse.respond(errorResponse + "\r\n", null);
    }
}
