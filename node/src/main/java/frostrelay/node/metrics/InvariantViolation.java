package frostrelay.node.metrics;

/** Invariants that are checked at run time; each violation is counted and logged. */
public enum InvariantViolation {
    /** A request had no final answer when it was due, or when this process ended. */
    UNANSWERED,
    /** This side closed a connection with an unanswered request. */
    CLOSED_UNANSWERED,
    /**
     * An attempt was written although its request was complete, its deadline had passed, its server
     * was unavailable or an earlier attempt may have executed.
     */
    WRITTEN_AGAINST_GUARD,
    /** The timeout forwarded to a server exceeded the client's remaining time. */
    DEADLINE_OVERSTATED,
    /** Traffic held more memory than its limit and the minimum of each connection allow. */
    MEMORY_LIMIT_EXCEEDED
}
