package frostrelay.testbed.invariants;

/** Hears what clients ask and get. Times in nanoseconds; {@code id} is that of a try. */
public interface ClientObserver {
    /** Where nobody watches: only what the client itself sees counts. */
    ClientObserver NONE = new ClientObserver() {};

    /**
     * A request goes out. {@code intent}: the first try that it belongs to, its own id for a first
     * try.
     */
    default void onRequest(long now, String id, String intent, InvariantChecker.Effect effect) {}

    /** How long the client of a request waits, from the moment at which it sent. */
    default void onTimeoutSet(String id, long untilNanos) {}

    /** The client of a request has closed its connection; nothing is owed any more. */
    default void onClientDisconnected(long now, String id) {}

    /**
     * A final answer came. {@code content}: what identifies a value or receipt, for served
     * requests.
     */
    default void onResponse(String id, InvariantChecker.Outcome ending, long content) {}

    /** Something came that belongs to no open request. */
    default void onUnexpectedResponse(String what) {}

    /** No answer came in time, or the connection ended without one. */
    default void onNoResponse(String id, String reason) {}

    /** Nothing is owed any more: its balancer was killed on purpose, or it was never reached. */
    default void onExcused(String id) {}
}
