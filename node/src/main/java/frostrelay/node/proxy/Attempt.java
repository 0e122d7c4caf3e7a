package frostrelay.node.proxy;

import frostrelay.policy.api.AttemptResult;

import io.netty.util.concurrent.Future;

/** One attempt to send a request to a cache server; the request's first one has the number 0. */
public final class Attempt {
    /** The request that it belongs to. */
    public final ActiveRequest activeRequest;

    final int number;

    /** The server that it is sent to. */
    final long serverId;

    final long sentAtNanos;
    final long timeoutAtNanos;

    /** The applied version that it was decided on under, by its number in this incarnation. */
    final int appliedVersionIndex;

    /** Whether it has its one outcome. */
    boolean completed;

    /** Its outcome; null before. */
    AttemptResult result;

    /** Whether its write has been started. */
    boolean writeStarted;

    /** Times it out at {@link #timeoutAtNanos}; null if it never was sent. */
    Future<?> timeoutTask;

    /** The timeout in milliseconds that its server was given; 0 before it is written. */
    public long announcedTimeoutMillis;

    /** The connection that carries it, or will once it is open; null before and after. */
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

    /** Whether its last byte has been sent: from then on it may run. */
    boolean isWritten() {
        return connection != null && connection.isWritten();
    }
}
