package frostrelay.node.proxy;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.policy.api.RequestClass;

import io.netty.util.concurrent.Future;

import java.util.ArrayList;
import java.util.List;

/** A request that was taken, from its arrival until the outcome of its last attempt. */
public final class ActiveRequest {
    /** Where the one final answer goes, in whatever protocol. */
    public interface ResponseListener {
        /** {@code value}: what is still coming in, or null. */
        void onServed(UpstreamResponse response, ValueStream value);

        /** Nothing has run. {@code retryAfterMillis}: when to come back, 0 if nothing is said. */
        void onRejected(long retryAfterMillis);

        void onFailed();

        /**
         * Since when the client could have left without being seen to; {@link ActionGuard#NEVER}
         * while it is watched.
         */
        long disconnectUndetectableSince(long now);
    }

    final long id;
    public final ClientRequest clientRequest;

    /** Its class, as the settings had it when the request was accepted. */
    final RequestClass requestClass;

    /**
     * When the final answer is due, on this program's clock; earlier than at first once a shutdown
     * began.
     */
    long deadlineNanos;

    private final long acceptedAtNanos;
    final List<Attempt> attempts = new ArrayList<>(2);
    final ResponseListener client;
    int pendingOutcomes;

    /** Answered, or the client is gone: nothing is owed and nothing new goes out. */
    boolean completed;

    /** The number of the attempt that was answered, -1 before. */
    int winningAttempt = -1;

    /** Some attempt may have run. */
    boolean mayHaveRun;

    Future<?> fallbackTask;

    ActiveRequest(
            long id,
            ClientRequest clientRequest,
            RequestClass requestClass,
            long acceptedAtNanos,
            long deadlineNanos,
            ResponseListener client) {
        this.id = id;
        this.clientRequest = clientRequest;
        this.requestClass = requestClass;
        this.acceptedAtNanos = acceptedAtNanos;
        this.deadlineNanos = deadlineNanos;
        this.client = client;
    }

    /**
     * By how much its final answer is late now; waiting in line behind others' answers does not
     * count.
     */
    long latenessNanos(long now) {
        return now - Math.max(acceptedAtNanos, deadlineNanos);
    }

    /** Closes the request; true the first time only, so that there is never a second answer. */
    boolean markCompleted() {
        boolean isFirst = !completed;
        completed = true;
        if (isFirst && fallbackTask != null) {
            fallbackTask.cancel(false);
        }
        return isFirst;
    }
}
