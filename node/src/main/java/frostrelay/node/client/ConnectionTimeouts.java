package frostrelay.node.client;

import frostrelay.node.metrics.CloseReason;
import frostrelay.node.time.Clock;

/** The timeouts of one client connection on which no request is open. */
final class ConnectionTimeouts {
    /**
     * A first command, or one of which a part has arrived, must be complete within this time; a
     * slow but correct client may need 2 s.
     */
    private static final long COMMAND_TIMEOUT_NANOS = 2_500 * Clock.NANOS_PER_MILLISECOND;

    /** A connection without a command for this long is closed; clients send far more often. */
    private static final long IDLE_TIMEOUT_NANOS = 20 * Clock.NANOS_PER_SECOND;

    /** How long a client may take to read the last response of a connection that closes. */
    private static final long LAST_RESPONSE_TIMEOUT_NANOS = 2 * Clock.NANOS_PER_SECOND;

    /**
     * How long the client's end is awaited after the output was shut down. A client closes one
     * network delay later; each that does not occupies a descriptor.
     */
    private static final long LINGER_NANOS = Clock.NANOS_PER_SECOND;

    /** When the connection was accepted, became idle, or went on with its end. */
    private long stateSinceNanos = Clock.now();

    /** Since when a part of a command has been there; 0 if there is none. */
    private long partialCommandSinceNanos;

    long stateSinceNanos() {
        return stateSinceNanos;
    }

    void restart() {
        stateSinceNanos = Clock.now();
    }

    void setPartialCommand(boolean isPartial) {
        if (!isPartial) {
            partialCommandSinceNanos = 0;
        } else if (partialCommandSinceNanos == 0) {
            partialCommandSinceNanos = Clock.now();
        }
    }

    boolean hasPartialCommand() {
        return partialCommandSinceNanos != 0;
    }

    /** Whether a connection whose output closes, or has closed, is to be dropped. */
    boolean isCloseOverdue(long now, ConnectionState state) {
        long timeoutNanos =
                state == ConnectionState.OUTPUT_SHUT_DOWN
                        ? LINGER_NANOS
                        : LAST_RESPONSE_TIMEOUT_NANOS;
        return now - stateSinceNanos > timeoutNanos;
    }

    /** Why an idle connection is to be closed now; null if it is not. */
    CloseReason expiredTimeout(long now, boolean hasSentValidCommand) {
        boolean hasCommandTimedOut =
                !hasSentValidCommand && now - stateSinceNanos > COMMAND_TIMEOUT_NANOS
                        || hasPartialCommand()
                                && now - partialCommandSinceNanos > COMMAND_TIMEOUT_NANOS;
        if (hasCommandTimedOut) {
            return CloseReason.INCOMPLETE_COMMAND;
        }
        return now - stateSinceNanos > IDLE_TIMEOUT_NANOS ? CloseReason.IDLE : null;
    }
}
