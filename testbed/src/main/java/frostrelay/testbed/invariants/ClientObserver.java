package frostrelay.testbed.invariants;

/**
 * An observer of clients' requests and responses. Times in nanoseconds; {@code id} identifies an
 * attempt.
 */
public interface ClientObserver {
    /** An observer that ignores all events, for runs that use only the clients' own statistics. */
    ClientObserver NONE = new ClientObserver() {};

    /**
     * Records that an attempt is sent. {@code intent}: the id of the request's first attempt, which
     * is {@code id} for the first attempt itself.
     */
    default void onRequest(long now, String id, String intent, InvariantChecker.Effect effect) {}

    /** Records the time until which the client waits; called once the attempt is written. */
    default void onTimeoutSet(String id, long untilNanos) {}

    /** Records that the client has closed its connection and expects no response. */
    default void onClientDisconnected(long now, String id) {}

    /**
     * Records the final response. {@code content}: for served requests, the digest of the value or
     * receipt.
     */
    default void onResponse(String id, InvariantChecker.Outcome ending, long content) {}

    /** Records a response that belongs to no open request. */
    default void onUnexpectedResponse(String what) {}

    /** Records that no response arrived in time or that the connection ended without one. */
    default void onNoResponse(String id, String reason) {}

    /**
     * Records that no response is required, because the balancer was killed on purpose or never
     * reached.
     */
    default void onExcused(String id) {}
}
