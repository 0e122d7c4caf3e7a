package frostrelay.node.metrics;

/** Why a request was refused. */
public enum RejectionReason {
    /** The decision module refused it. */
    BY_POLICY,
    /**
     * It came too late to be answered before this process ends, or this balancer sends its clients
     * away.
     */
    NOT_ACCEPTING,
    /** Its connection came while there was no room for it. */
    NO_CONNECTION_CAPACITY,
    /**
     * Its client may have left: more of what it sent waits than is read ahead, and the end of its
     * connection would not be seen.
     */
    CLIENT_UNOBSERVED,
    /** As many requests are open as may be. */
    TOO_MANY_OPEN,
    /** There is no memory for its value. */
    NO_MEMORY,
    /** Its time was up, and nothing of it had left. */
    TIMED_OUT_UNSENT
}
