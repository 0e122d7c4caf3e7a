package frostrelay.testbed.invariants;

/** Invariants that a balancer must satisfy; each constant names a violation. */
public enum Invariant {
    /** An accepted request got no final response in time. */
    NO_ANSWER,
    /** A request got more than one final answer. */
    TWO_ANSWERS,
    /** A non-idempotent request was executed twice. */
    RAN_TWICE,
    /** A keyed write took effect twice. */
    KEYED_TWICE,
    /**
     * A request was rejected, which tells the client that a retry is safe, although it had been
     * executed.
     */
    REFUSED_BUT_RAN,
    /** A response contains content that no cache produced for this request. */
    FOREIGN_ANSWER,
    /**
     * Work was sent to a cache too long after the balancer was notified that the cache is draining
     * or gone.
     */
    DRAIN_IGNORED,
    /** Work started at a cache too long after its client had closed the connection. */
    BEGUN_AFTER_CLIENT_LEFT,
    /** The timeout passed to a cache exceeds the remaining timeout of the client. */
    WAIT_OVERSTATED,
    /** A cache in slow start received more work than its limit. */
    COLD_OVERDRIVEN
}
