package frostrelay.policy.api;

/** Actions that the caller performs for the decision module; called from within an event method. */
public interface PolicyActions {
    /**
     * Starts the next attempt of a request, which the caller abandons at {@code abandonAtNanos}.
     */
    void send(long request, long server, long abandonAtNanos);

    /** Cancels one attempt. The caller must still report its outcome. */
    void cancel(long request, int attempt);

    /**
     * Gives the client the final answer "rejected", which means that a retry is safe.
     *
     * @param retryAfterNanos Retry-After for the client, in nanoseconds; 0 for an immediate retry
     */
    void reject(long request, long retryAfterNanos);

    /** Gives the client the final answer "failed": the request may have been executed. */
    void fail(long request);

    /** Schedules a call of {@link PolicyEvents#onTimer} with this token. */
    void scheduleTimer(long atNanos, int token);

    /** Closes this balancer's idle connections to a server. */
    void closeIdleConnections(long server);

    /** Subscribes to changes of the server list. */
    void subscribe();
}
