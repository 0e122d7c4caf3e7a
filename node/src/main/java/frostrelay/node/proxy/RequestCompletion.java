package frostrelay.node.proxy;

import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;
import frostrelay.node.metrics.RejectionReason;
import frostrelay.node.time.Clock;

/** Gives each request its final response, once, and records a violation if the response is late. */
final class RequestCompletion {
    /**
     * The largest lateness of a final response that a tolerated stall of this process can cause.
     */
    private static final long MAX_LATENESS_NANOS =
            ActionGuard.MAX_PROCESS_STALL_NANOS + 50 * Clock.NANOS_PER_MILLISECOND;

    private final Counters counters;
    private final DecisionObserver observer;
    private final RequestTable requestTable;

    RequestCompletion(Counters counters, DecisionObserver observer, RequestTable requestTable) {
        this.counters = counters;
        this.observer = observer;
        this.requestTable = requestTable;
    }

    /** Rejects a request; {@code retryAfterMillis} is 0 if the response names no retry time. */
    void reject(ActiveRequest activeRequest, RejectionReason reason, long retryAfterMillis) {
        counters.rejected(reason);
        activeRequest.trace("rejected", reason);
        observer.onRequestRejected();
        if (markCompleted(activeRequest)) {
            activeRequest.responseListener.onRejected(retryAfterMillis);
        }
    }

    /** Fails a request of which an attempt may have run. */
    void fail(ActiveRequest activeRequest) {
        counters.failed++;
        activeRequest.trace("failed", null);
        observer.onRequestFailed();
        if (markCompleted(activeRequest)) {
            activeRequest.responseListener.onFailed();
        }
    }

    /**
     * Marks a request as completed. Returns true only for the first call, so that no second
     * response is sent.
     */
    boolean markCompleted(ActiveRequest activeRequest) {
        if (!activeRequest.markCompleted()) {
            return false;
        }
        long latenessNanos = activeRequest.latenessNanos(Clock.now());
        if (latenessNanos > MAX_LATENESS_NANOS) {
            counters.recordViolation(
                    InvariantViolation.UNANSWERED,
                    activeRequest.clientRequest.id()
                            + ": completed "
                            + latenessNanos / Clock.NANOS_PER_MILLISECOND
                            + " ms after its deadline");
        }
        requestTable.onCompleted(activeRequest);
        return true;
    }
}
