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
    /** After a protocol error a connection is not read for this long. */
    private static final long PROTOCOL_ERROR_PAUSE_MILLIS = 50;

    /** After this many protocol errors a connection is closed. */
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

    /** Whether the client has sent valid commands and no other ones. */
    boolean isProven() {
        return hasSentValidCommand && protocolErrorCount == 0;
    }

    /** Executes a command; its response is given at once or when its request is completed. */
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

    /** Why no request of this connection is accepted now; null if they are. */
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
     * Responds to what cannot be served. Nothing behind a framing error is read; behind any other
     * one reading pauses, so that a client which repeats it at once takes no time from the others.
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
