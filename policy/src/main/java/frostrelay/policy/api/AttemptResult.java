package frostrelay.policy.api;

/** How an attempt ended; the flag of each constant says whether the attempt provably never ran. */
public enum AttemptResult {
    /** The server answered. */
    OK(false),
    /** The server answered with an error, possibly after executing the request. */
    ERROR(false),
    /** The server rejected the attempt without executing it. */
    REJECTED(true),
    /** No answer came in time. */
    TIMEOUT(false),
    /** No connection to the server was established. */
    CONNECT_FAILED(true),
    /** The connection was lost before the answer was complete. */
    RESET(false),
    /** The balancer cancelled the attempt. */
    CANCELLED(false),
    /** Never sent: the request had completed, expired or used up its attempts before. */
    SUPERSEDED(true),
    /** A look-aside cache does not hold the key; the origin must be read. */
    MISS(true);

    /** Whether the attempt provably never ran, so that another one cannot be a second execution. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Returns whether the attempt may still be running at its server. */
    public boolean mayStillRun() {
        return this == TIMEOUT || this == RESET || this == CANCELLED;
    }

    /** Returns whether the server processed the attempt as it should: a cache miss counts. */
    public boolean answered() {
        return this == OK || this == MISS;
    }
}
