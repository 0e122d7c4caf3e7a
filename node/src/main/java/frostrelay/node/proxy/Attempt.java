package frostrelay.node.proxy;

import frostrelay.policy.api.AttemptResult;

import io.netty.util.concurrent.Future;

/**
 * One attempt to send a request to a cache server. The first attempt of a request has the number 0.
 */
public final class Attempt {
    /** The request that this attempt belongs to. */
    public final ActiveRequest activeRequest;

    final int number;

    /** The server that the attempt is sent to. */
    final long serverId;

    final long sentAtNanos;
    final long timeoutAtNanos;

    /**
     * The sequence number, in this incarnation, of the applied version under which the policy
     * decided on the attempt.
     */
    final int appliedVersionIndex;

    /** Whether the attempt has its outcome. */
    boolean completed;

    /** The outcome; null until the attempt is completed. */
    AttemptResult result;

    /** Whether the write to the connection has been started. */
    boolean writeStarted;

    /** Times the attempt out at {@link #timeoutAtNanos}; null if the attempt was not sent. */
    Future<?> timeoutTask;

    /** The timeout in milliseconds that was sent to the server; 0 before the write. */
    public long announcedTimeoutMillis;

    /**
     * The connection that carries the attempt or, while it is being opened, will carry it; null
     * before the attempt is sent and after it ends.
     */
    public Upstream.AttemptConnection connection;

    Attempt(
            ActiveRequest activeRequest,
            int number,
            long serverId,
            long sentAtNanos,
            long timeoutAtNanos,
            int appliedVersionIndex) {
        this.activeRequest = activeRequest;
        this.number = number;
        this.serverId = serverId;
        this.sentAtNanos = sentAtNanos;
        this.timeoutAtNanos = timeoutAtNanos;
        this.appliedVersionIndex = appliedVersionIndex;
    }

    /**
     * Returns whether the last byte has been sent; from then on the server may execute the request.
     */
    boolean isWritten() {
        return connection != null && connection.isWritten();
    }
}
