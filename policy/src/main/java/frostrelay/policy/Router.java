package frostrelay.policy;

import frostrelay.policy.RequestState.Attempt;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.RequestClass;
import frostrelay.policy.api.Server;
import frostrelay.policy.api.SlowStartStatus;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The decision module's entry point. Tracks each request from its arrival to its final answer, and
 * decides when to start, hedge, retry or cancel an attempt. Not thread-safe.
 */
public final class Router implements PolicyEvents {
    /** Upper limit for the attempts of one request, the first included. */
    private static final int MAX_ATTEMPTS_LIMIT = 6;

    /** Passed to {@link #cancelPending} to cancel all attempts. */
    private static final int NO_ATTEMPT = -1;

    private PolicySettings settings;
    private int maxAttempts;
    private final PolicyActions actions;
    private final SeededRandom random;
    private final ServerHealth health;
    private final WorkEstimate workEstimate = new WorkEstimate();
    private final OriginFetchLimiter originFetches = new OriginFetchLimiter();
    private final ServerSelector selector;
    private final HedgingPolicy hedging;
    private final RetrySafety retrySafety;
    private final AdmissionControl admission;
    private final RequestAdmission requestAdmission;
    private final OutcomeFeedback feedback;
    private final SubscriptionSchedule subscription;
    private final RequestAlarms alarms;
    private final PerKeyQueue<RequestState> perKeyQueue;
    private final Map<Long, RequestState> requestsById = new HashMap<>();

    /** Number of other processes of this balancer. */
    private int siblingCount;

    /**
     * Creates a decision module without servers; the first endpoint list arrives as an event.
     *
     * @param settings the balancer's settings
     * @param seed seed of all random decisions
     * @param actions performs the module's decisions
     */
    public Router(PolicySettings settings, long seed, PolicyActions actions) {
        this.actions = actions;
        this.random = new SeededRandom(seed);
        this.health = new ServerHealth(settings, random);
        this.selector = new ServerSelector(settings, health, originFetches, random);
        this.admission = new AdmissionControl(settings);
        this.requestAdmission = new RequestAdmission(settings, admission, originFetches, random);
        this.hedging = new HedgingPolicy(settings.retryBudget());
        this.retrySafety = new RetrySafety(settings);
        this.feedback = new OutcomeFeedback(settings, health, selector, admission, originFetches);
        this.subscription = new SubscriptionSchedule(actions, random);
        this.alarms = new RequestAlarms(actions);
        this.perKeyQueue = new PerKeyQueue<>(settings.keyQuarantineNanos());
        applySettings(settings);
    }

    private void applySettings(PolicySettings newSettings) {
        settings = newSettings;
        maxAttempts = Math.max(1, Math.min(MAX_ATTEMPTS_LIMIT, newSettings.maxAttempts()));
        alarms.setMinSlowAfterNanos(admission.minSlowAfterNanos(newSettings.classes()));
    }

    /**
     * {@inheritDoc}
     *
     * <p>Open requests continue under the class that they arrived with; {@link RetrySafety} also
     * considers the class's new settings.
     */
    @Override
    public void onSettings(long now, PolicySettings newSettings) {
        applySettings(newSettings);
        health.onSettings(newSettings);
        selector.onSettings(newSettings);
        admission.onSettings(newSettings);
        requestAdmission.onSettings(newSettings);
        hedging.onSettings(newSettings.retryBudget());
        retrySafety.onSettings(newSettings);
        feedback.onSettings(newSettings);
        perKeyQueue.onSettings(newSettings.keyQuarantineNanos());
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers) {
        health.onEndpointUpdate(now, mode, servers);
        boolean hasFailed = mode == EndpointUpdateMode.FAILED;
        if (settings.subscribe() && (mode == EndpointUpdateMode.CACHED || hasFailed)) {
            subscription.scheduleNext(now, settings, siblingCount > 0, hasFailed);
        }
    }

    @Override
    public void onAdminDrains(long now, Set<Long> drainedServers) {
        health.onAdminDrains(now, drainedServers);
    }

    @Override
    public void onPeerHealthReports(long now, Set<Long> outliers) {
        health.onPeerHealthReports(outliers);
    }

    @Override
    public void onSiblingProcesses(long now, int siblingCount) {
        this.siblingCount = siblingCount;
    }

    @Override
    public void onRequest(long now, Request request) {
        hedging.recordRequest(now);
        RequestClass requestClass = settings.classes().get(request.requestClass());
        double cost = workEstimate.record(request.work());
        RequestState state = new RequestState(request, requestClass, cost, now, maxAttempts);
        boolean isOverQuota = admission.isOverQuota(now, request.tenant());
        if (!requestAdmission.admits(now, state, isOverQuota)) {
            long retryAfterNanos = requestAdmission.retryAfterNanos(now, state, isOverQuota);
            actions.reject(request.id(), retryAfterNanos);
            return;
        }
        admission.consumeQuota(request.tenant());
        requestsById.put(request.id(), state);
        selector.recordArrival(now, request.key());
        if (state.isSerialized()) {
            enqueue(now, state);
        } else {
            startFirstAttempt(now, state);
        }
    }

    /**
     * Queues a serialized request after earlier ones with its key. It is rejected immediately if
     * its expected wait exceeds its useful time, so that queues do not grow without bound.
     */
    private void enqueue(long now, RequestState state) {
        state.isQueued = true;
        int requestsAhead = perKeyQueue.enqueue(now, state.request.key(), state);
        if (now + requestsAhead * admission.meanWriteNanos < state.usefulUntilNanos) {
            startOrKeepWaiting(now, state);
        } else {
            rejectOrFail(now, state);
        }
    }

    /** Starts a queued request if it is first, and ends it if it has waited too long. */
    private void startOrKeepWaiting(long now, RequestState state) {
        long startAtNanos = perKeyQueue.earliestStartNanos(state.request.key(), state);
        if (now >= state.usefulUntilNanos) {
            rejectOrFail(now, state);
        } else if (now >= startAtNanos) {
            state.isQueued = false;
            startFirstAttempt(now, state);
        } else {
            alarms.set(now, state, Math.min(startAtNanos, state.usefulUntilNanos));
        }
    }

    private void startFirstAttempt(long now, RequestState state) {
        TrackedServer server = selector.selectFirst(now, state);
        if (server == null) {
            rejectOrFail(now, state);
            return;
        }
        send(now, state, server);
        long delayNanos = hedging.hedgeDelayNanos();
        if (delayNanos >= 0
                && now + delayNanos < state.usefulUntilNanos
                && !state.request.write()
                && !state.needsOrigin) {
            state.hedgeAtNanos = now + Math.max(1, delayNanos);
        }
        state.slowAtNanos = now + admission.slowAfterNanos(state.requestClass);
        alarms.set(now, state, Math.min(state.hedgeAtNanos, state.slowAtNanos));
    }

    private void send(long now, RequestState state, TrackedServer server) {
        state.needsOrigin |= health.isOrigin(server);
        state.addAttempt(server, now);
        health.onAttemptStarted(now, server, state.cost);
        actions.send(state.request.id(), server.id, state.usefulUntilNanos);
    }

    @Override
    public void onTimer(long now, int token) {
        if (token == SubscriptionSchedule.TIMER_TOKEN) {
            actions.subscribe();
            return;
        }
        alarms.recordTimerLateness(now);
        RequestState state = alarms.pollDue(now);
        while (state != null) {
            if (state.isQueued) {
                startOrKeepWaiting(now, state);
            } else {
                checkOverdue(now, state);
            }
            state = alarms.pollDue(now);
        }
        alarms.scheduleTimer(now);
    }

    /**
     * Checks a request that is still in flight: sends its hedged request if that is due, and
     * records a load signal if the request has become slow.
     */
    private void checkOverdue(long now, RequestState state) {
        alarms.postponeDuringGrace(now, state);
        if (now >= state.slowAtNanos) {
            state.slowAtNanos = RequestState.NEVER;
            admission.recordLoadSignal(
                    now,
                    state.needsOrigin
                            ? AdmissionControl.NEUTRAL_SIGNAL
                            : AdmissionControl.SLOWNESS_SIGNAL);
        }
        if (now >= state.hedgeAtNanos) {
            state.hedgeAtNanos = RequestState.NEVER;
            hedge(now, state);
        }
        alarms.set(now, state, Math.min(state.hedgeAtNanos, state.slowAtNanos));
    }

    private void hedge(long now, RequestState state) {
        if (state.isStreaming
                || state.needsOrigin
                || state.pendingCount != 1
                || !state.hasAttemptsLeft(maxAttempts)) {
            return;
        }
        TrackedServer server = selector.selectForHedge(now, state);
        if (server != null
                && retrySafety.maySendAnother(now, state, server)
                && !admission.isOverloaded()
                && !originFetches.isFailing()
                && hedging.trySpendRetry(now)) {
            send(now, state, server);
        }
    }

    @Override
    public void onFirstByte(long now, long requestId, int attempt) {
        RequestState state = requestsById.get(requestId);
        if (state != null && !state.isCompleted) {
            state.isStreaming = true;
            cancelPending(state, attempt);
        }
    }

    @Override
    public List<SlowStartStatus> slowStartStatus(long now) {
        return health.slowStartStatus(now);
    }

    @Override
    public void onClientDisconnect(long now, long requestId) {
        RequestState state = requestsById.get(requestId);
        if (state != null && !state.isCompleted) {
            cancelPending(state, NO_ATTEMPT);
            complete(now, state);
        }
    }

    @Override
    public void onAttemptOutcome(long now, AttemptOutcome outcome) {
        RequestState state = requestsById.get(outcome.requestId());
        if (state == null
                || outcome.attempt() >= state.attemptCount
                || !state.attempts[outcome.attempt()].isPending) {
            return;
        }
        Attempt attempt = state.attempts[outcome.attempt()];
        attempt.isPending = false;
        attempt.neverRan = outcome.result().neverRan;
        state.pendingCount--;
        if (state.isSerialized() && outcome.result().mayStillRun()) {
            perKeyQueue.quarantine(now, state.request.key());
        }
        boolean idleRejection = feedback.isIdleRejection(outcome);
        recordOutcome(now, state, attempt, outcome, idleRejection);
        if (state.isCompleted) {
            complete(now, state);
        } else if (outcome.requestCompleted()) {
            onAnswered(now, state, attempt, outcome);
        } else {
            retryOrFinish(now, state, outcome.result(), idleRejection);
        }
    }

    private void recordOutcome(
            long now,
            RequestState state,
            Attempt attempt,
            AttemptOutcome outcome,
            boolean idleRejection) {
        AttemptResult result = outcome.result();
        boolean wasOvertaken = attempt.wasOvertaken && result == AttemptResult.CANCELLED;
        health.onAttemptCompleted(
                now,
                attempt.server,
                result,
                now - attempt.sentAtNanos,
                idleRejection || wasOvertaken);
        feedback.record(now, state, attempt, outcome, idleRejection);
        if (health.connectFailureRate > ServerHealth.MAX_CONNECT_FAILURE_RATE) {
            // Idle connections may be filling the servers' connection tables.
            actions.closeIdleConnections(attempt.server.id);
        }
    }

    private void onAnswered(long now, RequestState state, Attempt attempt, AttemptOutcome outcome) {
        if (outcome.result() == AttemptResult.OK
                && !state.request.write()
                && !health.isOrigin(attempt.server)) {
            hedging.recordLatency(now, now - state.attempts[0].sentAtNanos);
        }
        state.markOvertakenBefore(outcome.attempt());
        cancelPending(state, outcome.attempt());
        complete(now, state);
    }

    /** Handles an attempt without an answer: waits, retries, or ends the request. */
    private void retryOrFinish(
            long now, RequestState state, AttemptResult result, boolean idleRejection) {
        state.needsOrigin |= result == AttemptResult.MISS;
        if (state.pendingCount > 0) {
            return;
        }
        if (now < state.usefulUntilNanos
                && state.hasAttemptsLeft(maxAttempts)
                && result != AttemptResult.SUPERSEDED) {
            TrackedServer server = selector.selectForRetry(now, state, result);
            if (server != null
                    && retrySafety.maySendAnother(now, state, server)
                    && (hedging.isExempt(state, result, idleRejection, admission.isOverloaded())
                            || hedging.trySpendRetry(now))) {
                send(now, state, server);
                return;
            }
        }
        rejectOrFail(now, state);
    }

    private void rejectOrFail(long now, RequestState state) {
        if (retrySafety.mayReject(state)) {
            boolean isRetryFutile = now >= state.usefulUntilNanos || state.isTooHeavy;
            actions.reject(state.request.id(), isRetryFutile ? settings.maxRetryAfterNanos() : 0);
        } else {
            actions.fail(state.request.id());
        }
        cancelPending(state, NO_ATTEMPT);
        complete(now, state);
    }

    private void cancelPending(RequestState state, int exceptAttempt) {
        if (!settings.cancellationAllowed()) {
            return;
        }
        for (int i = 0; i < state.attemptCount; i++) {
            if (state.attempts[i].isPending && i != exceptAttempt) {
                actions.cancel(state.request.id(), i);
            }
        }
    }

    /** Marks a request as complete, and removes it once no attempt is pending. */
    private void complete(long now, RequestState state) {
        state.isCompleted = true;
        if (state.pendingCount > 0) {
            return;
        }
        requestsById.remove(state.request.id());
        if (state.isSerialized()) {
            RequestState nextRequest = perKeyQueue.remove(state.request.key(), state);
            if (nextRequest != null && nextRequest.isQueued) {
                startOrKeepWaiting(now, nextRequest);
            }
        }
    }
}
