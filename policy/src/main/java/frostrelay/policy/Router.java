package frostrelay.policy;

import frostrelay.policy.ServerHealth.TrackedServer;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.DeduplicationScope;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.RequestClass;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.Server;

import java.util.*;

/** The decision module: the life of each request and the rules. Its interface is Api.java. */
public final class Router implements PolicyEvents {
    /** UpTo: attempts of one request, the first included. */
    private static final int MAX_ATTEMPTS_LIMIT = 6;

    private static final long NEVER = Long.MAX_VALUE;
    private static final int TIMER_ALARM = 1;
    private static final int TIMER_SUBSCRIBE = 2;

    /**
     * Instances call discovery so far apart, all within the longest: news binds 6 s after a failed
     * call.
     */
    private static final long STAGGER_NANOS = 250_000_000L;

    private static final long MAX_STAGGER_NANOS = 4_000_000_000L;
    private static final long FAILURE_PAUSE_NANOS = 200_000_000L;

    /** Part of the aim within which the origin answers while it has room. */
    private static final double FAST_FRACTION = 0.5;

    /** A host less busy than this that turns work away does so for another cause than load. */
    private static final double IDLE_UTILIZATION = 0.5;

    /** Part of the wait for an answer by which timers may be late. */
    private static final double LATENESS_FRACTION = 0.125;

    /**
     * Part of the window for repeats that is used, less a new connection's time; the rest is for
     * ways.
     */
    private static final double WINDOW_SAFETY = 0.9;

    /** One send and how it ended. */
    private static final class Attempt {
        final TrackedServer server;
        final long sentAtNanos;
        boolean isPending = true;
        boolean neverRan;

        /** A copy sent later was answered first. */
        boolean wasOvertaken;

        Attempt(TrackedServer server, long sentAtNanos) {
            this.server = server;
            this.sentAtNanos = sentAtNanos;
        }
    }

    /** A request from its arrival until its last attempt has been reported. */
    private static final class RequestState {
        final Request request;
        final RequestClass requestClass;
        final long usefulUntilNanos;
        final Attempt[] attempts;
        int attemptCount;
        int pendingCount;
        boolean isCompleted;

        /** Missed at a cache, or sent to the origin: no copy runs beside that. */
        boolean needsOrigin;

        boolean isStreaming;

        /** Waits for its turn: earlier requests of its key are not over. */
        boolean isQueued;

        /**
         * When its copy is due, when it tells of overload, and the earlier of the two or end of its
         * wait.
         */
        long hedgeAtNanos = NEVER;

        long slowAtNanos = NEVER;
        long alarmAtNanos;

        RequestState(Request request, RequestClass requestClass, long now, int maxAttempts) {
            this.request = request;
            this.requestClass = requestClass;
            long objectiveNanos =
                    requestClass.latencyObjectiveNanos()
                            + (long) (requestClass.objectiveStretchFactor() * request.work());
            this.usefulUntilNanos =
                    requestClass.latePriorityWeight() > 0 || requestClass.stream()
                            ? request.deadlineNanos()
                            : Math.min(request.deadlineNanos(), now + objectiveNanos);
            this.attempts = new Attempt[maxAttempts];
        }

        /** The earliest attempt that is not known never to have run. */
        Attempt firstPossiblyExecuted() {
            return Arrays.stream(attempts, 0, attemptCount)
                    .filter(a -> !a.neverRan)
                    .findFirst()
                    .orElse(null);
        }

        boolean isSerialized() {
            return requestClass.serializedByKey() && request.key() != 0;
        }
    }

    /** Something to look at in a flight; void if the flight has set another since. */
    private record Alarm(long atNanos, RequestState state) {
        boolean isSuperseded() {
            return state.isCompleted || state.alarmAtNanos != atNanos;
        }
    }

    private PolicySettings settings;
    private final PolicyActions actions;
    private final ServerHealth health;
    private final RendezvousCandidates candidates;
    private final HedgingPolicy hedging;
    private final AdmissionControl admission;
    private final OriginFetchLimiter originFetches = new OriginFetchLimiter();
    private final Map<Long, RequestState> requestsById = new HashMap<>();
    private final PerKeyQueue<RequestState> perKeyQueue;
    private final PriorityQueue<Alarm> alarms =
            new PriorityQueue<>(
                    Comparator.comparingLong(Alarm::atNanos)
                            .thenComparingLong(alarm -> alarm.state.request.id()));
    private int maxAttempts;
    private long timerAtNanos;

    /** Further processes of this balancer. */
    private int siblingCount;

    /** Some answer brought a load report. */
    private boolean hasSeenLoadReports;

    /**
     * Before that a missing answer tells nothing: it may have come while this balancer did not
     * look.
     */
    private long graceUntilNanos;

    /** A timer that is later than this is a sign of own lateness. */
    private long maxLatenessNanos;

    /** Starts an instance; its first list follows as an event. */
    public Router(PolicySettings settings, long seed, PolicyActions actions) {
        this.actions = actions;
        this.health = new ServerHealth(settings, seed);
        this.candidates = new RendezvousCandidates(health);
        this.admission = new AdmissionControl(settings);
        this.hedging = new HedgingPolicy(settings.retryBudget());
        this.perKeyQueue = new PerKeyQueue<>(settings.keyQuarantineNanos());
        applySettings(settings);
    }

    private void applySettings(PolicySettings newSettings) {
        settings = newSettings;
        maxLatenessNanos =
                (long)
                        (LATENESS_FRACTION
                                * newSettings.classes().stream()
                                        .mapToLong(admission::slowAfterNanos)
                                        .min()
                                        .orElse(0));
        maxAttempts = Math.max(1, Math.min(MAX_ATTEMPTS_LIMIT, newSettings.maxAttempts()));
    }

    /**
     * What is open goes on under the class it came with, but repeats and refusals must be allowed
     * by what its class has become as well: clients and hosts may already go by either.
     */
    @Override
    public void onSettings(long now, PolicySettings newSettings) {
        applySettings(newSettings);
        health.onSettings(newSettings);
        admission.onSettings(newSettings);
        hedging.onSettings(newSettings.retryBudget());
        perKeyQueue.onSettings(newSettings.keyQuarantineNanos());
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers) {
        health.onEndpointUpdate(now, mode, servers);
        boolean failed = mode == EndpointUpdateMode.FAILED;
        if (settings.subscribe() && (mode == EndpointUpdateMode.CACHED || failed)) {
            scheduleSubscribe(now, failed);
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

    /**
     * Subscribes in this instance's turn: its rank and chance keep the instances out of step. One
     * that takes over from another process starts alone and is held to the list's news at once, so
     * it asks at once.
     */
    private void scheduleSubscribe(long now, boolean failed) {
        if (siblingCount > 0 && !failed) {
            actions.scheduleTimer(now + 1, TIMER_SUBSCRIBE);
            return;
        }
        long maxDelayNanos = Math.min(MAX_STAGGER_NANOS, settings.pollIntervalNanos() / 2);
        double position =
                (settings.instanceIndex() + health.nextUniform()) / settings.instanceCount();
        long delayNanos =
                (long)
                        (position
                                * Math.min(
                                        maxDelayNanos, settings.instanceCount() * STAGGER_NANOS));
        actions.scheduleTimer(
                now + 1 + delayNanos + (failed ? FAILURE_PAUSE_NANOS : 0), TIMER_SUBSCRIBE);
    }

    @Override
    public void onRequest(long now, Request request) {
        hedging.recordRequest(now);
        RequestClass requestClass = settings.classes().get(request.requestClass());
        RequestState state = new RequestState(request, requestClass, now, maxAttempts);
        boolean isOverQuota = admission.isOverQuota(now, request.tenant());
        boolean isTooLate = state.usefulUntilNanos <= now;
        boolean needsOrigin =
                request.write()
                        || !settings.lookAside()
                                && originFetches.isFailing()
                                && !originFetches.mayBeCached(now, request.key());
        if (isTooLate
                || needsOrigin && !originFetches.admits(request.write(), health.nextUniform())
                || admission.shouldShed(isOverQuota, request.write(), health.nextUniform())) {
            actions.reject(
                    request.id(),
                    isOverQuota || isTooLate
                            ? settings.maxRetryAfterNanos()
                            : admission.retryAfterNanos(requestClass, health.nextUniform()));
            return;
        }
        admission.consumeQuota(request.tenant());
        requestsById.put(request.id(), state);
        candidates.recordArrival(now, request.key());
        if (!state.isSerialized()) {
            startFirstAttempt(now, state);
            return;
        }
        // What would wait past its use is refused at once: guards against lines that grow without
        // bound.
        state.isQueued = true;
        if (now + perKeyQueue.enqueue(now, request.key(), state) * admission.meanWriteNanos
                < state.usefulUntilNanos) {
            startOrKeepWaiting(now, state);
        } else {
            rejectOrFail(now, state);
        }
    }

    /** The fifth rule: starts a held request if its turn has come, ends it if it waited in vain. */
    private void startOrKeepWaiting(long now, RequestState state) {
        long startAtNanos = perKeyQueue.earliestStartNanos(state.request.key(), state);
        if (now >= state.usefulUntilNanos) {
            rejectOrFail(now, state);
        } else if (now >= startAtNanos) {
            state.isQueued = false;
            startFirstAttempt(now, state);
        } else {
            setAlarm(now, state, Math.min(startAtNanos, state.usefulUntilNanos));
        }
    }

    private void startFirstAttempt(long now, RequestState state) {
        TrackedServer server = null;
        if (!settings.lookAside() || !state.request.write()) {
            health.recordFirstSend(now);
            findCandidates(now, state);
            server = candidates.selectLeastLoaded();
        }
        server = server == null && settings.lookAside() ? leastLoadedOrigin() : server;
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
        setAlarm(now, state, Math.min(state.hedgeAtNanos, state.slowAtNanos));
    }

    private void findCandidates(long now, RequestState state) {
        // Requests without a key spread over all hosts.
        long key =
                state.request.key() != 0
                        ? state.request.key()
                        : RendezvousCandidates.mix(state.request.id());
        health.ignoresBreakers = false;
        double localZoneBoost = isOriginFast(state) ? health.balancersPerServer : 1;
        candidates.find(now, key, localZoneBoost);
        if (candidates.rankedCount == 0) {
            health.ignoresBreakers = true;
            candidates.find(now, key, localZoneBoost);
        }
    }

    private TrackedServer leastLoadedOrigin() {
        TrackedServer best = null;
        for (TrackedServer server : health.origins) {
            if (best == null || server.inFlight < best.inFlight) {
                best = server;
            }
        }
        return best;
    }

    private boolean isOriginFast(RequestState state) {
        TrackedServer origin = settings.lookAside() ? leastLoadedOrigin() : null;
        return origin != null
                && origin.latencyNanos < state.requestClass.latencyObjectiveNanos() * FAST_FRACTION;
    }

    private void send(long now, RequestState state, TrackedServer server) {
        state.needsOrigin |= health.isOrigin(server);
        state.attempts[state.attemptCount++] = new Attempt(server, now);
        state.pendingCount++;
        health.onAttemptStarted(now, server);
        actions.send(state.request.id(), server.id, state.usefulUntilNanos);
    }

    private void setAlarm(long now, RequestState state, long atNanos) {
        state.alarmAtNanos = atNanos;
        if (atNanos != NEVER) {
            alarms.add(new Alarm(atNanos, state));
        }
        setTimer(now);
    }

    private void setTimer(long now) {
        while (!alarms.isEmpty() && alarms.peek().isSuperseded()) {
            alarms.poll();
        }
        if (!alarms.isEmpty() && (timerAtNanos <= now || alarms.peek().atNanos < timerAtNanos)) {
            timerAtNanos = Math.max(now + 1, alarms.peek().atNanos);
            actions.scheduleTimer(timerAtNanos, TIMER_ALARM);
        }
    }

    @Override
    public void onTimer(long now, int token) {
        if (token == TIMER_SUBSCRIBE) {
            actions.subscribe();
            return;
        }
        recordTimerLateness(now);
        while (!alarms.isEmpty() && alarms.peek().atNanos <= now) {
            Alarm alarm = alarms.poll();
            if (!alarm.isSuperseded() && alarm.state.isQueued) {
                startOrKeepWaiting(now, alarm.state);
            } else if (!alarm.isSuperseded()) {
                checkOverdue(now, alarm.state);
            }
        }
        setTimer(now);
    }

    /**
     * A timer that comes late shows that nothing else was looked at meanwhile either: answers may
     * wait unread, so this balancer allows them as long again as it was away. Guards against taking
     * own lateness (a cold start, a long collection, a used-up share) for slow hosts: one stall had
     * all copied. Harm: while this balancer is late all the time, a slow fleet shows in rejections
     * alone.
     */
    private void recordTimerLateness(long now) {
        long latenessNanos = alarms.isEmpty() ? 0 : now - alarms.peek().atNanos;
        if (latenessNanos > maxLatenessNanos) {
            graceUntilNanos = Math.max(graceUntilNanos, now + latenessNanos);
        }
    }

    /**
     * A flight is still out: its copy may be due, and an answer that is late already tells of
     * overload.
     */
    private void checkOverdue(long now, RequestState state) {
        if (now < graceUntilNanos) {
            state.slowAtNanos =
                    state.slowAtNanos == NEVER
                            ? NEVER
                            : Math.max(state.slowAtNanos, graceUntilNanos);
            state.hedgeAtNanos =
                    state.hedgeAtNanos == NEVER
                            ? NEVER
                            : Math.max(state.hedgeAtNanos, graceUntilNanos);
        }
        if (now >= state.slowAtNanos) {
            state.slowAtNanos = NEVER;
            admission.recordLoadSignal(
                    now, state.needsOrigin ? 0 : AdmissionControl.SLOWNESS_SIGNAL);
        }
        if (now >= state.hedgeAtNanos) {
            state.hedgeAtNanos = NEVER;
            hedge(now, state);
        }
        setAlarm(now, state, Math.min(state.hedgeAtNanos, state.slowAtNanos));
    }

    private void hedge(long now, RequestState state) {
        if (state.isStreaming
                || state.needsOrigin
                || state.pendingCount != 1
                || state.attemptCount >= maxAttempts(state)) {
            return;
        }
        findCandidates(now, state);
        TrackedServer server = firstUntriedCandidate(state, candidates.candidateCount);
        if (server != null
                && maySendAnother(now, state, server)
                && !admission.isOverloaded()
                && !originFetches.isFailing()
                && hedging.trySpendRetry(now)) {
            send(now, state, server);
        }
    }

    private int maxAttempts(RequestState state) {
        return Math.min(maxAttempts, state.attempts.length);
    }

    private TrackedServer firstUntriedCandidate(RequestState state, int limit) {
        for (int i = 0; i < candidates.rankedCount && i < limit; i++) {
            TrackedServer server = candidates.ranked[i];
            if (Arrays.stream(state.attempts, 0, state.attemptCount)
                    .noneMatch(a -> a.server == server)) {
                return server;
            }
        }
        return null;
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
    public void onClientDisconnect(long now, long requestId) {
        RequestState state = requestsById.get(requestId);
        if (state != null && !state.isCompleted) {
            cancelPending(state, -1);
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
        boolean idleRejection =
                outcome.result() == AttemptResult.REJECTED && isIdle(outcome.loadReport());
        boolean suspect =
                idleRejection
                        || attempt.wasOvertaken && outcome.result() == AttemptResult.CANCELLED;
        health.onAttemptCompleted(
                now, attempt.server, outcome.result(), now - attempt.sentAtNanos, suspect);
        recordOutcome(now, state, attempt, outcome, idleRejection);
        if (health.connectFailureRate > ServerHealth.MAX_CONNECT_FAILURE_RATE) {
            actions.closeIdleConnections(attempt.server.id);
        }
        if (state.isCompleted) {
            complete(now, state);
        } else if (outcome.requestCompleted()) {
            if (outcome.result() == AttemptResult.OK
                    && !state.request.write()
                    && !health.isOrigin(attempt.server)) {
                hedging.recordLatency(now, now - state.attempts[0].sentAtNanos);
            }
            for (int i = 0; i < outcome.attempt(); i++) {
                state.attempts[i].wasOvertaken = state.attempts[i].isPending;
            }
            cancelPending(state, outcome.attempt());
            complete(now, state);
        } else {
            retryOrFinish(now, state, outcome.result(), idleRejection);
        }
    }

    /**
     * Whether a host says that it has time to spare. Guards against a few hosts that turn work away
     * for reasons of their own: taken for a sign of load, that has most requests shed while others
     * stand idle.
     */
    private boolean isIdle(float[] loadReport) {
        int index = settings.loadReportLayout().utilization();
        return index >= 0 && index < loadReport.length && loadReport[index] < IDLE_UTILIZATION;
    }

    /**
     * Whether an answer lacks the load report that others bring: a rejection then has another cause
     * than a full queue. Guards against a balancer that is late itself, whose clients gave up
     * meanwhile, and sheds nearly all. Harm: where hosts report only in spare time, overload shows
     * in slow answers alone.
     */
    private boolean lacksExpectedLoadReport(float[] loadReport) {
        hasSeenLoadReports |= loadReport.length > 0;
        return hasSeenLoadReports && loadReport.length == 0;
    }

    private void recordOutcome(
            long now,
            RequestState state,
            Attempt attempt,
            AttemptOutcome outcome,
            boolean idleRejection) {
        AttemptResult reason = outcome.result();
        long durationNanos = now - attempt.sentAtNanos;
        if (state.isSerialized() && !reason.neverRan) {
            admission.recordWriteDuration(durationNanos);
        }
        boolean isFast = durationNanos < admission.slowAfterNanos(state.requestClass);
        boolean isFull =
                !lacksExpectedLoadReport(outcome.loadReport())
                        && reason == AttemptResult.REJECTED
                        && !idleRejection;
        if (!health.isOrigin(attempt.server) && (isFull || isFast && reason.answered())) {
            // A full cache while the origin has room tells of a hot key, not of a full fleet.
            double loadSignal =
                    isOriginFast(state)
                            ? AdmissionControl.SLOWNESS_SIGNAL
                            : AdmissionControl.REJECTION_SIGNAL;
            admission.recordLoadSignal(now, reason.answered() ? 1 : loadSignal);
        }
        boolean failed = reason != AttemptResult.OK;
        boolean late =
                durationNanos > state.requestClass.latencyObjectiveNanos()
                        || outcome.source() == ResponseSource.CACHE && !isFast;
        long key = state.request.key();
        if (health.isOrigin(attempt.server) && reason != AttemptResult.CANCELLED) {
            // Late counts as failed: guards against a queue that makes every fetch late.
            originFetches.scaleAdmittedFraction(
                    failed || late
                            ? OriginFetchLimiter.FAILURE_FACTOR
                            : OriginFetchLimiter.SUCCESS_FACTOR);
        } else if (!settings.lookAside()
                && (reason == AttemptResult.ERROR || !failed)) { // a time-out tells nothing
            if (state.request.write()) {
                originFetches.onWriteCompleted(key, failed);
            } else {
                originFetches.onReadCompleted(
                        now, key, attempt.server, failed, outcome.source(), late);
            }
        }
    }

    /**
     * An attempt ended without an answer: wait for another one, try again, or give the final
     * answer.
     */
    private void retryOrFinish(
            long now, RequestState state, AttemptResult reason, boolean idleRejection) {
        state.needsOrigin |= reason == AttemptResult.MISS;
        if (state.pendingCount > 0) {
            return;
        }
        if (now < state.usefulUntilNanos
                && state.attemptCount < maxAttempts(state)
                && reason != AttemptResult.SUPERSEDED) {
            TrackedServer server = chooseRetryServer(now, state, reason);
            // The first send after one that reached nobody is no further load, unless there is too
            // much.
            boolean unreached =
                    reason == AttemptResult.CONNECT_FAILED
                            && state.attemptCount == 1
                            && !admission.isOverloaded();
            if (server != null
                    && maySendAnother(now, state, server)
                    && (reason == AttemptResult.MISS
                            || (idleRejection || unreached) && settings.retryBudget() == null
                            || hedging.trySpendRetry(now))) {
                send(now, state, server);
                return;
            }
        }
        rejectOrFail(now, state);
    }

    private TrackedServer chooseRetryServer(long now, RequestState state, AttemptResult reason) {
        // Guards against a hot key's hosts passing it round among them, full, while the origin has
        // room.
        boolean isFull = reason == AttemptResult.REJECTED && isOriginFast(state);
        if (settings.lookAside() && (state.needsOrigin || state.request.write() || isFull)) {
            return state.request.write() || originFetches.admits(false, health.nextUniform())
                    ? leastLoadedOrigin()
                    : null;
        }
        findCandidates(now, state);
        TrackedServer server = firstUntriedCandidate(state, candidates.rankedCount);
        return server == null && settings.lookAside() ? leastLoadedOrigin() : server;
    }

    /** The second rule: whether a further send can cause no second effect. */
    private boolean maySendAnother(long now, RequestState state, TrackedServer server) {
        if (state.pendingCount > 0 && !settings.hedgingAllowed()) {
            return false;
        }
        Attempt first = state.firstPossiblyExecuted();
        return first == null
                || mayRetry(now, state.requestClass, first, server)
                        && mayRetry(now, currentClass(state), first, server);
    }

    private RequestClass currentClass(RequestState state) {
        return settings.classes().get(state.request.requestClass());
    }

    private boolean mayRetry(
            long now, RequestClass requestClass, Attempt first, TrackedServer server) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now + settings.connectTimeoutNanos() - first.sentAtNanos
                                <= requestClass.deduplicationWindowNanos() * WINDOW_SAFETY
                        && (requestClass.deduplicationScope() != DeduplicationScope.ZONE
                                || first.server.zone == server.zone)
                        && (requestClass.deduplicationScope() != DeduplicationScope.CELL
                                || first.server.cell == server.cell);
    }

    /** The second rule: a refusal promises that a client's retry does no harm. */
    private boolean mayReject(RequestState state) {
        return state.firstPossiblyExecuted() == null
                || isSafeForClientRetry(state.requestClass)
                        && isSafeForClientRetry(currentClass(state));
    }

    private static boolean isSafeForClientRetry(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    private void rejectOrFail(long now, RequestState state) {
        if (mayReject(state)) {
            actions.reject(
                    state.request.id(),
                    now >= state.usefulUntilNanos ? settings.maxRetryAfterNanos() : 0);
        } else {
            actions.fail(state.request.id());
        }
        cancelPending(state, -1);
        complete(now, state);
    }

    private void cancelPending(RequestState state, int exceptAttempt) {
        for (int i = 0; i < state.attemptCount && settings.cancellationAllowed(); i++) {
            if (state.attempts[i].isPending && i != exceptAttempt) {
                actions.cancel(state.request.id(), i);
            }
        }
    }

    /** Forgets a request once its last attempt has been reported. */
    private void complete(long now, RequestState state) {
        state.isCompleted = true;
        if (state.pendingCount > 0) {
            return;
        }
        requestsById.remove(state.request.id());
        RequestState nextRequest =
                state.isSerialized() ? perKeyQueue.remove(state.request.key(), state) : null;
        if (nextRequest != null && nextRequest.isQueued) {
            startOrKeepWaiting(now, nextRequest);
        }
    }
}
