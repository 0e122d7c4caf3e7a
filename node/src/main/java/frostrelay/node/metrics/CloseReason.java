package frostrelay.node.metrics;

/** The reasons for closing a client's connection. The names are logged. */
public enum CloseReason {
    /** The client closed or reset it. */
    CLIENT_CLOSED,
    /** The client sent {@code quit}. */
    CLIENT_QUIT,
    /** This process is shutting down. */
    SHUTTING_DOWN,
    /** This balancer is draining. */
    DRAINING,
    /** It was evicted in favor of another connection. */
    EVICTED,
    /** It was opened over the connection limit, and closed after its request was rejected. */
    OVER_CONNECTION_LIMIT,
    /** It was opened while there was no capacity even to reject its requests. */
    CONNECTION_REJECTED,
    /** It exceeded the idle timeout. */
    IDLE,
    /** No complete command was received in time. */
    INCOMPLETE_COMMAND,
    /**
     * The client violated the protocol too often, or so that the start of the next command is
     * unknown.
     */
    PROTOCOL_ERROR,
    /** The client left too many responses unread. */
    RESPONSES_UNREAD,
    /** The transfer of a long value made no progress for too long, at the client or the cache. */
    VALUE_STALLED,
    /** The cache ended a long value too early; closing is the only way to signal it. */
    VALUE_BROKEN,
    /** Reading or writing failed. */
    CONNECTION_ERROR;

    /** Returns whether this side chose to close and must answer the requests read before. */
    public boolean isInitiatedLocally() {
        return switch (this) {
            case SHUTTING_DOWN,
                    DRAINING,
                    EVICTED,
                    OVER_CONNECTION_LIMIT,
                    IDLE,
                    INCOMPLETE_COMMAND ->
                    true;
            case CLIENT_CLOSED,
                    CLIENT_QUIT,
                    CONNECTION_REJECTED,
                    PROTOCOL_ERROR,
                    RESPONSES_UNREAD,
                    VALUE_STALLED,
                    VALUE_BROKEN,
                    CONNECTION_ERROR ->
                    false;
        };
    }
}
