package frostrelay.node.proxy;

import frostrelay.policy.api.AttemptResult;

import io.netty.util.concurrent.Future;

/** One send of a request to a cache host; numbered by its place among the request's sends. */
public final class Attempt {
    public final ActiveRequest activeRequest;
    final int number;

    /** The host that it goes to, by its number on the list. */
    final long serverId;

    final long sentAtNanos;
    final long timeoutAtNanos;

    /** Which stamp it was decided on under, by its number in this life. */
    final int appliedVersionIndex;

    /** Set once, with the attempt's one outcome. */
    boolean completed;

    /** That outcome; null before. */
    AttemptResult result;

    /** Whether it went out whole. */
    boolean writeStarted;

    /** Ends the wait at {@link #timeoutAtNanos}. */
    Future<?> timeoutTask;

    /** The milliseconds that its server was told it is waited for; 0 before it is written. */
    public long announcedTimeoutMillis;

    /** What carries it, or will once it is up; null before and after. */
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

    /** Whether its last byte has left: from then on it may run. */
    boolean isWritten() {
        return connection != null && connection.isWritten();
    }
}
