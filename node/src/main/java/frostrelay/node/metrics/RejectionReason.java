package frostrelay.node.metrics;

/** The reasons for rejecting a request. The names are logged. */
public enum RejectionReason {
    /** The decision module rejected it. */
    BY_POLICY,
    /**
     * It arrived too late to be answered before this process ends, or this balancer is draining.
     */
    NOT_ACCEPTING,
    /** Its connection is over the connection limit. */
    NO_CONNECTION_CAPACITY,
    /**
     * Its client may have disconnected: more input is pending than the read-ahead limit, so that
     * the end of the connection cannot be detected.
     */
    CLIENT_UNOBSERVED,
    /** The limit of open requests is reached. */
    TOO_MANY_OPEN,
    /** The memory limit for values is reached. */
    NO_MEMORY,
    /** Its deadline passed before any part of it was sent. */
    TIMED_OUT_UNSENT
}
