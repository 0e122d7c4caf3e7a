package frostrelay.node.proxy;

import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.RejectionReason;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.Request;

import io.netty.channel.EventLoop;

import java.util.concurrent.TimeUnit;

/**
 * Accepts the requests of clients, within the limits on open requests and memory, and passes them
 * to the policy. Runs on the event loop.
 */
final class RequestAdmission {
    /**
     * Subtracted from the client's timeout for the network delay of the request and of the
     * response, so that the final response arrives before the client times out.
     */
    private static final long NETWORK_ALLOWANCE_NANOS = 6 * Clock.NANOS_PER_MILLISECOND;

    /**
     * The delay of requests after a stall: a few iterations of the event loop, in which the sockets
     * are read, and far below any latency objective.
     */
    private static final long CATCH_UP_DELAY_MILLIS = 10;

    private final EventLoop loop;
    private final Counters counters;
    private final CurrentSettings currentSettings;
    private final ActionGuard guard;
    private final DecisionObserver observer;
    private final RequestTable requestTable;
    private final RequestCompletion completion;
    private final DeadlineFallback deadlineFallback;
    private final StallDetector stallDetector;
    private final PolicyEventQueue events;
    private final PolicyEvents policy;
    private long lastRequestId;

    RequestAdmission(
            EventLoop loop,
            Counters counters,
            CurrentSettings currentSettings,
            ActionGuard guard,
            DecisionObserver observer,
            RequestTable requestTable,
            RequestCompletion completion,
            DeadlineFallback deadlineFallback,
            StallDetector stallDetector,
            PolicyEventQueue events,
            PolicyEvents policy) {
        this.loop = loop;
        this.counters = counters;
        this.currentSettings = currentSettings;
        this.guard = guard;
        this.observer = observer;
        this.requestTable = requestTable;
        this.completion = completion;
        this.deadlineFallback = deadlineFallback;
        this.stallDetector = stallDetector;
        this.events = events;
        this.policy = policy;
    }

    /** See {@link RequestDispatcher#accept}. */
    ActiveRequest accept(
            ClientRequest clientRequest,
            long arrivedAtNanos,
            ActiveRequest.ResponseListener responseListener)
            throws IdInUseException {
        if (requestTable.isOpen(clientRequest.id())) {
            throw new IdInUseException();
        }
        long now = Clock.now();
        ActiveRequest activeRequest =
                newRequest(clientRequest, arrivedAtNanos, now, responseListener);
        counters.accepted++;
        activeRequest.trace("accepted", clientRequest.clientTimeoutMillis());
        // No attempt has been sent yet, so the client may safely retry a request that is rejected
        // here.
        if (requestTable.openCount() >= currentSettings.get().maxOpenRequests) {
            completion.reject(activeRequest, RejectionReason.TOO_MANY_OPEN, 0);
            return activeRequest;
        }
        if (!requestTable.tryReserveMemory(clientRequest)) {
            completion.reject(activeRequest, RejectionReason.NO_MEMORY, 0);
            return activeRequest;
        }
        requestTable.add(activeRequest);
        deadlineFallback.schedule(activeRequest, now);
        if (stallDetector.hasStalled(now)) {
            loop.schedule(
                    () -> events.post(new RequestEvent(activeRequest)),
                    CATCH_UP_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
        } else {
            events.post(new RequestEvent(activeRequest));
        }
        return activeRequest;
    }

    private ActiveRequest newRequest(
            ClientRequest clientRequest,
            long arrivedAtNanos,
            long now,
            ActiveRequest.ResponseListener responseListener) {
        long deadlineNanos =
                guard.requestDeadlineNanos(
                        arrivedAtNanos,
                        clientRequest.clientTimeoutMillis() * Clock.NANOS_PER_MILLISECOND
                                - NETWORK_ALLOWANCE_NANOS);
        DeploymentSettings settings = currentSettings.get();
        return new ActiveRequest(
                ++lastRequestId,
                clientRequest,
                settings.policySettings.classes().get(clientRequest.requestClass()),
                now,
                deadlineNanos,
                responseListener);
    }

    private final class RequestEvent extends PolicyEvent {
        RequestEvent(ActiveRequest activeRequest) {
            super(activeRequest);
        }

        @Override
        void dispatch() {
            if (activeRequest.completed) {
                return;
            }
            ClientRequest clientRequest = activeRequest.clientRequest;
            observer.onRequestAccepted(clientRequest.isClientRetry());
            policy.onRequest(
                    Clock.now(),
                    new Request(
                            activeRequest.id,
                            clientRequest.requestClass(),
                            clientRequest.tenant(),
                            clientRequest.numericKey(),
                            activeRequest.deadlineNanos,
                            clientRequest.expectedWorkNanos(),
                            clientRequest.isClientRetry(),
                            clientRequest.isWrite()));
        }
    }

    /** Handles the disconnect of an open request's client, after which no response is sent. */
    void onClientDisconnect(ActiveRequest activeRequest) {
        if (completion.markCompleted(activeRequest)) {
            counters.disconnectedClients++;
            activeRequest.trace("client-disconnected", null);
            events.post(
                    activeRequest, () -> policy.onClientDisconnect(Clock.now(), activeRequest.id));
        }
    }

    /** Moves the deadlines of all open requests that are later than the given time to that time. */
    void capDeadlines(long latestDeadlineNanos) {
        long now = Clock.now();
        for (ActiveRequest activeRequest : requestTable.activeRequests()) {
            if (!activeRequest.completed && activeRequest.deadlineNanos > latestDeadlineNanos) {
                activeRequest.deadlineNanos = latestDeadlineNanos;
                deadlineFallback.reschedule(activeRequest, now);
            }
        }
    }
}
