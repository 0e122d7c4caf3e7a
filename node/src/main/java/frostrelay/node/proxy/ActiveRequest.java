package frostrelay.node.proxy;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.policy.api.RequestClass;

import io.netty.util.concurrent.Future;

import java.util.ArrayList;
import java.util.List;

/** An accepted request, until the outcome of its last attempt. Runs on the event loop. */
public final class ActiveRequest {
    /** Receives the one final response, in whatever protocol. */
    public interface ResponseListener {
        /**
         * An attempt was successful.
         *
         * @param value a long value that is still being received; else null
         */
        void onServed(UpstreamResponse response, ValueStream value);

        /**
         * No attempt has run.
         *
         * @param retryAfterMillis after what time the client may retry; 0 if it is told none
         */
        void onRejected(long retryAfterMillis);

        /** The request is given up, and an attempt may have run. */
        void onFailed();

        /**
         * Since when a disconnect of the client would have gone undetected; {@link
         * ActionGuard#NEVER} while it would be detected.
         */
        long disconnectUndetectableSince(long now);
    }

    final long id;

    /** What the client asked for. */
    public final ClientRequest clientRequest;

    /** Its class, by the settings that applied when the request was accepted. */
    final RequestClass requestClass;

    /**
     * When the final response is due, by {@link frostrelay.node.time.Clock}; brought forward when a
     * shutdown begins.
     */
    long deadlineNanos;

    private final long acceptedAtNanos;
    final List<Attempt> attempts = new ArrayList<>(2);
    final ResponseListener client;

    /** Attempts whose outcome the policy has not received yet. */
    int pendingOutcomes;

    /** It has its response, or its client has disconnected: no attempt is sent any more. */
    boolean completed;

    /** The number of the attempt whose response it got; -1 before. */
    int winningAttempt = -1;

    /** Whether some attempt with an outcome may have run. */
    boolean mayHaveRun;

    /** Answers it past its deadline; null if it was rejected at once. */
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
     * How many nanoseconds past its deadline it is now; negative before. Not counted is the time
     * that it waited before it was accepted.
     */
    long latenessNanos(long now) {
        return now - Math.max(acceptedAtNanos, deadlineNanos);
    }

    /** Closes the request; true the first time only, so that there is never a second response. */
    boolean markCompleted() {
        boolean isFirst = !completed;
        completed = true;
        if (isFirst && fallbackTask != null) {
            fallbackTask.cancel(false);
        }
        return isFirst;
    }

    /** Logs a step of the request's life, if that is enabled. */
    void trace(String step, Object detail) {
        if (Log.isEnabled(Event.REQUEST)) {
            Log.write(Event.REQUEST, clientRequest.id(), step, detail);
        }
    }
}
