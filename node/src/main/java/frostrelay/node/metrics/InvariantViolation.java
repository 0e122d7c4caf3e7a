package frostrelay.node.metrics;

/** What must never happen and is looked for while the program runs: each is counted and logged. */
public enum InvariantViolation {
    /** A request had no final answer when it was due, or this process ended. */
    UNANSWERED,
    /** A connection was closed from this end with a request on it that had no answer. */
    CLOSED_UNANSWERED,
    /**
     * An attempt was written though its request was over, its time was up, its server had left, or
     * it may have run before.
     */
    WRITTEN_AGAINST_GUARD,
    /** A server was told more time than the client has left. */
    DEADLINE_OVERSTATED
}
