package frostrelay.policy.api;

/** The result of an attempt; each constant's flag is true if the server provably never ran it. */
public enum AttemptResult {
    /** The server answered. */
    OK(false),
    /** The server answered with an error, possibly after executing the request. */
    ERROR(false),
    /** The server rejected the attempt without executing it. */
    REJECTED(true),
    /** No answer arrived in time. */
    TIMEOUT(false),
    /** No connection to the server was established. */
    CONNECT_FAILED(true),
    /** The connection was lost before the answer was complete. */
    RESET(false),
    /** The balancer cancelled the attempt. */
    CANCELLED(false),
    /** Never sent, as the request had already completed, expired or used up its attempts. */
    SUPERSEDED(true),
    /** A look-aside cache missed; the value must be read from the origin. */
    MISS(true);

    /** True if the attempt provably never ran, so that a retry cannot execute the request twice. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Returns whether the attempt may still be running at its server. */
    public boolean mayStillRun() {
        return this == TIMEOUT || this == RESET || this == CANCELLED;
    }

    /** Returns whether the server processed the attempt correctly, cache misses included. */
    public boolean answered() {
        return this == OK || this == MISS;
    }
}
