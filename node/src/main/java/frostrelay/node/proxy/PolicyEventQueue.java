package frostrelay.node.proxy;

import frostrelay.node.metrics.Counters;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Passes events to the policy one at a time and in order. An event that is posted while the policy
 * runs, for example by one of the policy's actions, is queued until the policy has returned. Runs
 * on the event loop.
 */
final class PolicyEventQueue {
    /**
     * Completes a request after the policy has thrown an exception while it handled an event of the
     * request.
     */
    interface FailureHandler {
        void completeWithoutPolicy(ActiveRequest activeRequest);
    }

    /** An event that is too rare to need its own class. */
    private static final class CallbackEvent extends PolicyEvent {
        private final Runnable callback;

        CallbackEvent(ActiveRequest activeRequest, Runnable callback) {
            super(activeRequest);
            this.callback = callback;
        }

        @Override
        void dispatch() {
            callback.run();
        }
    }

    private final Counters counters;
    private final RequestTable requestTable;
    private final FailureHandler failureHandler;
    private final Queue<PolicyEvent> pendingEvents = new ArrayDeque<>();
    private boolean isDispatching;

    PolicyEventQueue(Counters counters, RequestTable requestTable, FailureHandler failureHandler) {
        this.counters = counters;
        this.requestTable = requestTable;
        this.failureHandler = failureHandler;
    }

    /** Posts a rare event; {@code activeRequest} is null if the event concerns no request. */
    void post(ActiveRequest activeRequest, Runnable callback) {
        post(new CallbackEvent(activeRequest, callback));
    }

    /** Posts an event, which is dispatched immediately unless another event is being dispatched. */
    void post(PolicyEvent newEvent) {
        pendingEvents.add(newEvent);
        if (isDispatching) {
            return;
        }
        isDispatching = true;
        try {
            for (PolicyEvent event = pendingEvents.poll();
                    event != null;
                    event = pendingEvents.poll()) {
                deliver(event);
            }
        } finally {
            isDispatching = false;
        }
    }

    private void deliver(PolicyEvent event) {
        try {
            event.dispatch();
        } catch (RuntimeException e) {
            // A fault in the policy must not affect other requests, nor leave this one open.
            counters.logUnexpected("unexpected exception", e);
            if (event.activeRequest != null) {
                failureHandler.completeWithoutPolicy(event.activeRequest);
            }
        }
        if (event.activeRequest != null) {
            requestTable.removeIfFinished(event.activeRequest);
        }
    }
}
