package frostrelay.node.proxy;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.net.MemoryPool;
import frostrelay.policy.api.RequestClass;

import io.netty.util.concurrent.Future;

import java.util.ArrayList;
import java.util.List;

/**
 * An accepted request and its attempts. Exists until the last attempt has its outcome. Runs on the
 * event loop.
 */
public final class ActiveRequest {
    /** Receives the final response of a request and encodes it for the client's protocol. */
    public interface ResponseListener {
        /**
         * Called when an attempt has succeeded.
         *
         * @param value the stream of a long value that is still being received; null for a buffered
         *     value
         */
        void onServed(UpstreamResponse response, ValueStream value);

        /**
         * Called when the request is rejected, which implies that no attempt has run.
         *
         * @param retryAfterMillis the time in milliseconds after which the client may retry; 0 to
         *     send no such time
         */
        void onRejected(long retryAfterMillis);

        /** Called when the request has failed and an attempt may have run. */
        void onFailed();

        /**
         * Returns the time since which a disconnect of the client would have gone undetected, or
         * {@link ActionGuard#NEVER} if a disconnect would be detected now.
         */
        long disconnectUndetectableSince(long now);

        /** Returns the memory in which the response is received and held for this client. */
        MemoryPool responseMemory();
    }

    final long id;

    /** The request as the client sent it. */
    public final ClientRequest clientRequest;

    /** The request class from the settings that applied when the request was accepted. */
    final RequestClass requestClass;

    /**
     * The time by {@link frostrelay.node.time.Clock} at which the final response is due. A shutdown
     * moves it to an earlier time.
     */
    long deadlineNanos;

    private final long acceptedAtNanos;
    final List<Attempt> attempts = new ArrayList<>(2);
    final ResponseListener responseListener;

    /** Attempts whose outcome the policy has not received yet. */
    int pendingOutcomes;

    /**
     * Whether the response has been given or the client has disconnected. No attempt is sent after
     * that.
     */
    boolean completed;

    /** The number of the attempt whose response was used; -1 if there is none yet. */
    int winningAttempt = -1;

    /** Whether a server may have executed any attempt that has an outcome. */
    boolean mayHaveRun;

    /** Completes the request shortly after its deadline; null if it was rejected on arrival. */
    Future<?> fallbackTask;

    ActiveRequest(
            long id,
            ClientRequest clientRequest,
            RequestClass requestClass,
            long acceptedAtNanos,
            long deadlineNanos,
            ResponseListener responseListener) {
        this.id = id;
        this.clientRequest = clientRequest;
        this.requestClass = requestClass;
        this.acceptedAtNanos = acceptedAtNanos;
        this.deadlineNanos = deadlineNanos;
        this.responseListener = responseListener;
    }

    /**
     * Returns the nanoseconds since the deadline; negative before it. If the deadline had passed
     * before the request was accepted, the time is counted from the acceptance.
     */
    long latenessNanos(long now) {
        return now - Math.max(acceptedAtNanos, deadlineNanos);
    }

    /**
     * Marks the request as completed. Returns true only for the first call, so that no second
     * response is sent.
     */
    boolean markCompleted() {
        boolean isFirst = !completed;
        completed = true;
        if (isFirst && fallbackTask != null) {
            fallbackTask.cancel(false);
        }
        return isFirst;
    }

    /** Returns the memory in which a response is received and held for the client. */
    public MemoryPool responseMemory() {
        return responseListener.responseMemory();
    }

    /** Logs a step in the processing of the request if request logging is enabled. */
    void trace(String step, Object detail) {
        if (Log.isEnabled(Event.REQUEST)) {
            Log.write(Event.REQUEST, clientRequest.id(), step, detail);
        }
    }
}
