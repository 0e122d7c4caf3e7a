package frostrelay.policy.api;

/** What the decision module asks its caller to do. Calls are made from within an event's method. */
public interface PolicyActions {
    /** Starts the next attempt of a request; the caller abandons it at {@code abandonAtNanos}. */
    void send(long request, long server, long abandonAtNanos);

    /** Cancels one attempt. Its outcome is still to be reported. */
    void cancel(long request, int attempt);

    /**
     * Gives the client the final answer "rejected": its retry is safe.
     *
     * @param retryAfterNanos the Retry-After to give, in nanoseconds; 0 for an immediate retry
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
