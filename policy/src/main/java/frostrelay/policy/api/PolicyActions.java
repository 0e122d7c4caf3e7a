package frostrelay.policy.api;

/** PolicyActions out. */
public interface PolicyActions {
    /** Starts the next attempt of a request; it is abandoned at {@code abandonAtNanos}. */
    void send(long request, long server, long abandonAtNanos);

    /** Ends the wait for one attempt. */
    void cancel(long request, int attempt);

    /** Final answer: refused, a client's retry does no harm. */
    void reject(long request, long retryAfterNanos);

    /** Final answer: failed. */
    void fail(long request);

    /** Asks for {@link PolicyEvents#onTimer}. */
    void scheduleTimer(long atNanos, int token);

    /** Closes this balancer's idle connections to a server. */
    void closeIdleConnections(long server);

    /** Subscribes to changes of the server list. */
    void subscribe();
}
