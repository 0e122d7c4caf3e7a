package frostrelay.node.client;

import frostrelay.node.metrics.CloseReason;
import frostrelay.node.time.Clock;

/** The timeouts of one client connection on which no request is open. */
final class ConnectionTimeouts {
    /**
     * The time within which a first command must be complete, and by which a later one that has
     * arrived in part may fall behind the least pace. A slow but correct client may need 2 s.
     */
    private static final long COMMAND_TIMEOUT_NANOS = 2_500 * Clock.NANOS_PER_MILLISECOND;

    /**
     * The time without a command after which a connection is closed. Clients send commands far more
     * often.
     */
    private static final long IDLE_TIMEOUT_NANOS = 20 * Clock.NANOS_PER_SECOND;

    /**
     * The time in which a client must read the last response of a connection that is being closed.
     */
    private static final long LAST_RESPONSE_TIMEOUT_NANOS = 2 * Clock.NANOS_PER_SECOND;

    /**
     * The time for which the client's close is awaited after the output was shut down. A client
     * normally closes after one network delay; a client that does not close occupies a descriptor.
     */
    private static final long LINGER_TIMEOUT_NANOS = Clock.NANOS_PER_SECOND;

    /**
     * The time at which the connection was accepted, became idle, or started or completed the
     * shutdown of its output.
     */
    private long stateSinceNanos = Clock.now();

    /** Whether a part of a command has been buffered and no response is pending. */
    private boolean hasPartialCommand;

    /** What the client gives of that command; started when the part is found. */
    private final TransferProgress commandProgress = new TransferProgress(stateSinceNanos);

    long stateSinceNanos() {
        return stateSinceNanos;
    }

    void restart() {
        stateSinceNanos = Clock.now();
    }

    void setPartialCommand(long now, boolean isPartial) {
        if (isPartial && !hasPartialCommand) {
            commandProgress.start(now);
        }
        hasPartialCommand = isPartial;
    }

    boolean hasPartialCommand() {
        return hasPartialCommand;
    }

    /** Records bytes of commands that have been read. */
    void onBytesRead(long now, int bytes) {
        commandProgress.onBytes(now, bytes);
    }

    /**
     * Returns whether the timeout of a connection whose output is being shut down or has been shut
     * down is exceeded.
     */
    boolean isCloseOverdue(long now, ConnectionState state) {
        long timeoutNanos =
                state == ConnectionState.OUTPUT_SHUT_DOWN
                        ? LINGER_TIMEOUT_NANOS
                        : LAST_RESPONSE_TIMEOUT_NANOS;
        return now - stateSinceNanos > timeoutNanos;
    }

    /**
     * Returns the reason for which an idle connection must be closed now, or null if no timeout has
     * expired.
     */
    CloseReason expiredTimeout(long now, boolean hasSentValidCommand) {
        boolean hasCommandTimedOut =
                !hasSentValidCommand && now - stateSinceNanos > COMMAND_TIMEOUT_NANOS
                        || hasPartialCommand
                                && commandProgress.behindNanos(now) > COMMAND_TIMEOUT_NANOS;
        if (hasCommandTimedOut) {
            return CloseReason.INCOMPLETE_COMMAND;
        }
        boolean isIdle = !hasPartialCommand && now - stateSinceNanos > IDLE_TIMEOUT_NANOS;
        return isIdle ? CloseReason.IDLE : null;
    }
}
