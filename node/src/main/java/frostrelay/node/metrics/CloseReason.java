package frostrelay.node.metrics;

/** Why a client's connection ended. */
public enum CloseReason {
    /** The client closed or reset it. */
    CLIENT_CLOSED,
    /** The client sent {@code quit}. */
    CLIENT_QUIT,
    /** This process ends. */
    SHUTTING_DOWN,
    /** Operators drain this balancer. */
    DRAINING,
    /** It was closed to make room for another connection. */
    EVICTED,
    /** It came while there was no room for it, was refused, and ended. */
    OVER_CONNECTION_LIMIT,
    /** It came while there was not even room to refuse it. */
    CONNECTION_REJECTED,
    /** Nothing was asked on it for too long. */
    IDLE,
    /** No command came in time, or one that had begun was not completed. */
    INCOMPLETE_COMMAND,
    /**
     * The client broke the protocol too often, or in a way that hides where the next command
     * begins.
     */
    PROTOCOL_ERROR,
    /** The client leaves too many answers unread. */
    RESPONSES_UNREAD,
    /** A long value moved neither at the client nor at the cache for too long. */
    VALUE_STALLED,
    /** The cache ended a long value too early; only a close tells the client so. */
    VALUE_BROKEN,
    /** Reading or writing failed. */
    CONNECTION_ERROR;

    /** Whether this end chose to close, and had to answer what it had read before that. */
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
