package frostrelay.node.proxy;

import frostrelay.healthreports.AttemptObservation;
import frostrelay.node.config.Config;
import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.discovery.DiscoveryClient;
import frostrelay.node.discovery.ServerStartTimes;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;
import frostrelay.node.metrics.RejectionReason;
import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointState;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.RequestClass;
import frostrelay.policy.api.ResponseSource;
import frostrelay.policy.api.Server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Stands between the sockets and the decision module: the ledger of open requests and their
 * attempts, and the timers. It decides nothing: what is sent, repeated, refused or given up is the
 * module's word.
 *
 * <p>All of it runs on the one event loop. Events reach the module one at a time: an outcome that
 * an action causes at once is queued and handed over when the module has returned, as the module is
 * not reentrant.
 */
public final class RequestDispatcher
        implements PolicyActions, Upstream.Listener, DiscoveryClient.Listener {
    /**
     * A client counts its wait from when it sent, not from when the request was read here, and the
     * answer has its way to go as well: this much is taken off, so that a final answer is there
     * before it is overdue.
     */
    private static final long NETWORK_ALLOWANCE_NANOS = 6 * Clock.NANOS_PER_MILLISECOND;

    /**
     * The sweep comes four times a second; when it is overdue by twice that, the process was
     * stopped or starved.
     */
    private static final long PAUSE_THRESHOLD_NANOS = 750 * Clock.NANOS_PER_MILLISECOND;

    /** A few rounds of the event loop, each of which reads all that has come; far below any aim. */
    private static final long CATCH_UP_DELAY_MILLIS = 10;

    /**
     * An agent that is down comes back within seconds, and what it has then binds at once, but for
     * a drain's 500 ms.
     */
    private static final long AGENT_RECONNECT_MILLIS = 150;

    /** A silent agent tells nothing: clients are not kept waiting for it for longer at a start. */
    private static final long INITIAL_LIST_TIMEOUT_MILLIS = 2_000;

    /** Past its deadline by this, a request that the module has left open is answered here. */
    private static final long FALLBACK_DELAY_NANOS = Clock.NANOS_PER_MILLISECOND;

    /**
     * A final answer that is later than this has another cause than a process that was held up for
     * as long as it may be.
     */
    private static final long MAX_LATENESS_NANOS =
            ActionGuard.MAX_PROCESS_STALL_NANOS + 50 * Clock.NANOS_PER_MILLISECOND;

    /** Makes the decision module, given where its actions go. */
    public interface PolicyFactory {
        PolicyEvents create(PolicySettings settings, long seed, PolicyActions actions);
    }

    /**
     * What the module is to be told. The frequent ones are classes of their own: without the second
     * compiler, which this program does not load, a lambda that holds something is made through a
     * slow call into the JVM each time.
     */
    private abstract static class PolicyEvent {
        final ActiveRequest activeRequest;

        PolicyEvent(ActiveRequest activeRequest) {
            this.activeRequest = activeRequest;
        }

        abstract void dispatch();
    }

    private static final class CallbackEvent extends PolicyEvent {
        private final Runnable callback;

        CallbackEvent(ActiveRequest activeRequest, Runnable action) {
            super(activeRequest);
            this.callback = action;
        }

        @Override
        void dispatch() {
            callback.run();
        }
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

    private final class AttemptOutcomeEvent extends PolicyEvent {
        private final Attempt attempt;
        private final AttemptResult reason;
        private final UpstreamResponse response;
        private final ValueStream value;

        AttemptOutcomeEvent(
                Attempt attempt,
                AttemptResult reason,
                UpstreamResponse response,
                ValueStream value) {
            super(attempt.activeRequest);
            this.attempt = attempt;
            this.reason = reason;
            this.response = response;
            this.value = value;
        }

        @Override
        void dispatch() {
            activeRequest.pendingOutcomes--;
            if (reason == AttemptResult.OK && markCompleted(activeRequest)) {
                activeRequest.winningAttempt = attempt.number;
                counters.served++;
                trace(activeRequest, "served", attempt.number);
                activeRequest.client.onServed(response, value);
            } else if (value != null) {
                value.cancel();
            }
            AttemptObservation attemptObservation = observation();
            if (attemptObservation != null) {
                observer.onAttemptObserved(
                        attempt.serverId, attemptObservation, attempt.sentAtNanos);
            }
            ResponseSource source = response == null ? ResponseSource.UNKNOWN : response.source();
            if (attempt.writeStarted) {
                observer.onAttemptCompleted(reason, source);
            }
            float[] loadReport =
                    deploymentSettings()
                            .parseReport(response == null ? null : response.loadReport());
            long now = Clock.now();
            policy.onAttemptOutcome(
                    now,
                    new AttemptOutcome(
                            activeRequest.id,
                            attempt.number,
                            reason,
                            now - attempt.sentAtNanos,
                            activeRequest.completed,
                            source,
                            loadReport));
        }

        /**
         * What this tells of the cache; null for nothing. What it turns away while it is full is no
         * fault of its own.
         */
        private AttemptObservation observation() {
            return switch (reason) {
                case OK, MISS -> AttemptObservation.ANSWERED;
                case ERROR -> AttemptObservation.FAILED;
                case TIMEOUT -> AttemptObservation.SILENT;
                case RESET -> AttemptObservation.RESET;
                case CONNECT_FAILED -> AttemptObservation.UNREACHABLE;
                // Its copy, sent later, was answered first.
                case CANCELLED ->
                        activeRequest.winningAttempt > attempt.number
                                ? AttemptObservation.SILENT
                                : null;
                case REJECTED, SUPERSEDED -> null;
            };
        }
    }

    private final class TimerEvent extends PolicyEvent implements Runnable {
        private final long atNanos;
        private final int token;

        TimerEvent(long atNanos, int token) {
            super(null);
            this.atNanos = atNanos;
            this.token = token;
        }

        @Override
        public void run() {
            counters.recordTimer(Clock.now() - atNanos);
            post(this);
        }

        @Override
        void dispatch() {
            policy.onTimer(Clock.now(), token);
        }
    }

    private final class DeadlineFallback implements Runnable {
        private final ActiveRequest activeRequest;

        DeadlineFallback(ActiveRequest activeRequest) {
            this.activeRequest = activeRequest;
        }

        /**
         * The module has not answered in time; whatever the reason, the client must not be left
         * without.
         */
        @Override
        public void run() {
            if (!activeRequest.completed) {
                counters.lastCalls++;
                completeWithoutPolicy(activeRequest);
            }
        }
    }

    private final class AttemptTimeout implements Runnable {
        private final Attempt attempt;

        AttemptTimeout(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void run() {
            counters.recordTimer(Clock.now() - attempt.timeoutAtNanos);
            // What never left cannot have run: its connection did not come up in time.
            abandonAttempt(
                    attempt,
                    attempt.isWritten() ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED);
        }
    }

    private final CurrentSettings currentSettings;
    private final EventLoop loop;
    private final Counters counters;
    private final PolicyEvents policy;
    private final Upstream upstream;
    private final DiscoveryClient discovery;
    private final Map<Long, ActiveRequest> activeRequests = new HashMap<>();

    /** The ids of requests that are owed an answer. */
    private final Set<String> openRequestIds = new HashSet<>();

    private final MemoryLimiter memoryLimiter;
    private final ActionGuard guard;

    /** Unix time in milliseconds, which may step; for what discovery tells in it alone. */
    private final LongSupplier wallClockMillis;

    private final ServerStartTimes startTimes = new ServerStartTimes();
    private final DecisionObserver observer;
    private final Queue<PolicyEvent> pendingEvents = new ArrayDeque<>();
    private Set<Long> locallyDrained = Set.of();
    private Set<Long> drainedByPeers = Set.of();
    private Set<Long> avoidedServers = Set.of();

    /** The list's entries as discovery told them. */
    private final Map<Long, Server> listedServers = new HashMap<>();

    /**
     * When the last sweep was, and whether requests that come behind a pause wait for what others
     * have told.
     */
    private long lastSweepNanos = Clock.now();

    private boolean catchUpEnabled;
    private boolean isDispatching;
    private long lastRequestId;

    /** Done once discovery was heard, or failed, where its list binds from the first moment on. */
    private final Promise<Void> initialListReceived;

    public RequestDispatcher(
            Config config,
            EventLoop loop,
            Counters counters,
            PolicyFactory policyFactory,
            Upstream.Factory upstreamFactory,
            MemoryLimiter memoryLimiter,
            ActionGuard guard,
            SharedDirectory.Snapshot sharedState,
            DecisionObserver observer,
            LongSupplier wallClockMillis) {
        this.memoryLimiter = memoryLimiter;
        this.wallClockMillis = wallClockMillis;
        this.guard = guard;
        this.observer = observer;
        this.currentSettings = new CurrentSettings(config.settings());
        this.loop = loop;
        this.counters = counters;
        this.upstream = upstreamFactory.create(currentSettings, this);
        this.discovery = new DiscoveryClient(config, currentSettings, loop, this);
        this.initialListReceived = loop.newPromise();
        this.policy = policyFactory.create(config.settings().policySettings, config.seed(), this);
        onSiblingProcesses(sharedState.peerProcessCount());
        onAdminDrains(sharedState.adminDrains());
        EndpointList cachedList = config.initialEndpoints();
        onEndpointList(EndpointUpdateMode.CACHED, cachedList.revision(), cachedList.endpoints());
        if (deploymentSettings().policySettings.subscribe()) {
            initialListReceived.setSuccess(null);
        } else {
            loop.schedule(
                    () -> initialListReceived.trySuccess(null),
                    INITIAL_LIST_TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Done when clients may come. Where lists are pushed, the agent's list binds from the first
     * moment of this process, and the one of the configuration may be old: nothing is sent before
     * the agent was heard, or has failed.
     */
    public Future<Void> heard() {
        return initialListReceived;
    }

    // What comes in.

    /**
     * Takes a request, which is answered exactly once unless its client leaves first. Hosts know
     * requests by their ids alone: a second one under an open id could be served with what was made
     * for the first. {@code arrivedAtNanos}: when it had come whole; its client's wait has run
     * since, however long it stood in line here.
     */
    public ActiveRequest accept(
            ClientRequest clientRequest, long arrivedAtNanos, ActiveRequest.ResponseListener client)
            throws IdInUseException {
        if (openRequestIds.contains(clientRequest.id())) {
            throw new IdInUseException();
        }
        long now = Clock.now();
        long deadlineNanos =
                guard.requestDeadlineNanos(
                        arrivedAtNanos,
                        clientRequest.clientTimeoutMillis() * Clock.NANOS_PER_MILLISECOND
                                - NETWORK_ALLOWANCE_NANOS);
        ActiveRequest activeRequest =
                new ActiveRequest(
                        ++lastRequestId,
                        clientRequest,
                        deploymentSettings()
                                .policySettings
                                .classes()
                                .get(clientRequest.requestClass()),
                        now,
                        deadlineNanos,
                        client);
        counters.accepted++;
        trace(activeRequest, "accepted", clientRequest.clientTimeoutMillis());
        // Running out of room is told to the client: a refusal of what never went out does no harm.
        if (openRequestCount() >= deploymentSettings().maxOpenRequests) {
            respondRejected(activeRequest, RejectionReason.TOO_MANY_OPEN, 0);
            return activeRequest;
        }
        if (!memoryLimiter.tryReserve(clientRequest.sizeBytes())) {
            respondRejected(activeRequest, RejectionReason.NO_MEMORY, 0);
            return activeRequest;
        }
        activeRequests.put(activeRequest.id, activeRequest);
        openRequestIds.add(clientRequest.id());
        scheduleFallback(activeRequest, now);
        if (catchUpEnabled && now - lastSweepNanos > PAUSE_THRESHOLD_NANOS) {
            // This process stood still: what others have told it meanwhile waits in its sockets,
            // and is read first.
            loop.schedule(
                    () -> post(new RequestEvent(activeRequest)),
                    CATCH_UP_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
        } else {
            post(new RequestEvent(activeRequest));
        }
        return activeRequest;
    }

    private void scheduleFallback(ActiveRequest activeRequest, long now) {
        activeRequest.fallbackTask =
                loop.schedule(
                        new DeadlineFallback(activeRequest),
                        activeRequest.deadlineNanos + FALLBACK_DELAY_NANOS - now,
                        TimeUnit.NANOSECONDS);
    }

    /**
     * From now on every request is answered by this moment, also those that were accepted before.
     */
    public void capDeadlines(long latestDeadlineNanos) {
        long now = Clock.now();
        for (ActiveRequest activeRequest : activeRequests.values()) {
            if (!activeRequest.completed && activeRequest.deadlineNanos > latestDeadlineNanos) {
                activeRequest.deadlineNanos = latestDeadlineNanos;
                activeRequest.fallbackTask.cancel(false);
                scheduleFallback(activeRequest, now);
            }
        }
    }

    private static void trace(ActiveRequest activeRequest, String state, Object detail) {
        if (Log.isEnabled(Event.REQUEST)) {
            Log.write(Event.REQUEST, activeRequest.clientRequest.id(), state, detail);
        }
    }

    /** The client of an open request has closed its connection: nothing is owed any more. */
    public void onClientDisconnect(ActiveRequest activeRequest) {
        if (markCompleted(activeRequest)) {
            counters.disconnectedClients++;
            trace(activeRequest, "client-disconnected", null);
            post(activeRequest, () -> policy.onClientDisconnect(Clock.now(), activeRequest.id));
        }
    }

    @Override
    public void onEndpointList(
            EndpointUpdateMode mode, long rev, List<EndpointList.Endpoint> members) {
        observer.onEndpointList(mode, rev, members);
        upstream.update(mode, members);
        boolean isFullList = mode == EndpointUpdateMode.FULL || mode == EndpointUpdateMode.CACHED;
        if (isFullList) {
            listedServers.clear();
        }
        if (mode != EndpointUpdateMode.FAILED) {
            startTimes.onEndpointList(
                    Clock.now(), wallClockMillis.getAsLong() * Clock.NANOS_PER_MILLISECOND);
        }
        List<Server> localServers =
                members.stream()
                        .map(EndpointList.Endpoint::server)
                        .map(this::withLocalStartTime)
                        .toList();
        localServers.forEach(server -> listedServers.put(server.id(), server));
        if (isFullList) {
            startTimes.retainOnly(listedServers.keySet());
        }
        List<Server> servers = localServers.stream().map(this::heard).toList();
        post(null, () -> policy.onEndpointUpdate(Clock.now(), mode, servers));
        if (!deploymentSettings().policySettings.subscribe()) {
            resubscribeIfNeeded(mode);
        }
    }

    /**
     * Where lists are pushed, the module asks for none: the agent beside this process is watched
     * all the time, at no cost.
     */
    private void resubscribeIfNeeded(EndpointUpdateMode mode) {
        if (mode == EndpointUpdateMode.CACHED) {
            discovery.subscribe();
            return;
        }
        initialListReceived.trySuccess(null);
        if (mode == EndpointUpdateMode.FAILED) {
            loop.schedule(discovery::subscribe, AGENT_RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public ActionGuard.SendDecision maySend(Attempt attempt, long sendAllowedUntilNanos) {
        long now = Clock.now();
        return guard.checkSend(now, sendConditions(now, attempt, sendAllowedUntilNanos));
    }

    @Override
    public long remainingTimeoutNanos(Attempt attempt) {
        return guard.forwardedTimeoutNanos(
                Clock.now(), attempt.timeoutAtNanos, attempt.activeRequest.deadlineNanos);
    }

    private ActionGuard.PendingSend sendConditions(
            long now, Attempt attempt, long sendAllowedUntilNanos) {
        ActiveRequest activeRequest = attempt.activeRequest;
        return new ActionGuard.PendingSend(
                activeRequest.completed,
                activeRequest.client.disconnectUndetectableSince(now),
                attempt.timeoutAtNanos,
                activeRequest.deadlineNanos,
                sendAllowedUntilNanos,
                retryAllowedUntilNanos(attempt));
    }

    /**
     * Until when it does no harm to send an attempt, for what the attempts before it may have done.
     */
    private long retryAllowedUntilNanos(Attempt attempt) {
        for (int i = 0; i < attempt.number; i++) {
            Attempt earlier = attempt.activeRequest.attempts.get(i);
            if (earlier.result == null || !earlier.result.neverRan) {
                RequestClass current =
                        deploymentSettings()
                                .policySettings
                                .classes()
                                .get(attempt.activeRequest.clientRequest.requestClass());
                return Math.min(
                        retryAllowedUntilNanos(attempt.activeRequest.requestClass, earlier),
                        retryAllowedUntilNanos(current, earlier));
            }
        }
        return ActionGuard.NEVER;
    }

    private static long retryAllowedUntilNanos(RequestClass requestClass, Attempt attempt) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> ActionGuard.NEVER;
            case IDEMPOTENCY_KEY ->
                    attempt.sentAtNanos
                            + requestClass.deduplicationWindowNanos()
                            - ActionGuard.MAX_PROCESS_STALL_NANOS;
            case NOT_IDEMPOTENT -> attempt.sentAtNanos;
        };
    }

    /**
     * Looks once more, with the clock read anew: what is found here was held up for longer than is
     * allowed for.
     */
    @Override
    public void onWritten(Attempt attempt, long sendAllowedUntilNanos) {
        long now = Clock.now();
        ActionGuard.SendDecision verdict =
                guard.checkSend(
                        now - ActionGuard.MAX_PROCESS_STALL_NANOS,
                        sendConditions(now, attempt, sendAllowedUntilNanos));
        if (verdict != ActionGuard.SendDecision.ALLOWED) {
            counters.recordViolation(
                    InvariantViolation.WRITTEN_AGAINST_GUARD,
                    attempt.activeRequest.clientRequest.id() + ": " + verdict);
        }
        long overstatedNanos =
                now
                        + attempt.announcedTimeoutMillis * Clock.NANOS_PER_MILLISECOND
                        - attempt.activeRequest.deadlineNanos;
        if (overstatedNanos > ActionGuard.MAX_PROCESS_STALL_NANOS) {
            counters.recordViolation(
                    InvariantViolation.DEADLINE_OVERSTATED,
                    attempt.activeRequest.clientRequest.id()
                            + ": by "
                            + overstatedNanos / Clock.NANOS_PER_MILLISECOND
                            + " ms");
        }
    }

    @Override
    public void onWriteStarted(Attempt attempt, int serverNumber) {
        boolean isHedge = false;
        for (int i = 0; i < attempt.number; i++) {
            isHedge |= !attempt.activeRequest.attempts.get(i).completed;
        }
        attempt.writeStarted = true;
        trace(attempt.activeRequest, "attempt-written", attempt.number);
        observer.onAttemptSent(
                attempt.appliedVersionIndex,
                serverNumber,
                attempt.number,
                isHedge,
                attempt.activeRequest.clientRequest);
    }

    @Override
    public int serverNumber(String uid) {
        return observer.cacheNumber(uid);
    }

    @Override
    public void onAttemptCompleted(
            Attempt attempt, AttemptResult reason, UpstreamResponse response, ValueStream value) {
        completeAttempt(attempt, reason, response, value);
    }

    /**
     * The configuration was replaced: of what it tells, the settings and where discovery is change
     * under way.
     */
    public void reload(Config newConfig) {
        observer.onConfig(newConfig);
        currentSettings.replace(newConfig.settings());
        post(null, () -> policy.onSettings(Clock.now(), newConfig.settings().policySettings));
        discovery.moveTo(newConfig.discoveryAddress());
    }

    public DeploymentSettings deploymentSettings() {
        return currentSettings.get();
    }

    /** The number of requests that are owed an answer. */
    public int openRequestCount() {
        return openRequestIds.size();
    }

    /** The first open requests, each by its id and the milliseconds that are left to answer it. */
    public Map<String, Object> openRequests(int maxEntries) {
        long now = Clock.now();
        Map<String, Object> open = new LinkedHashMap<>();
        for (ActiveRequest activeRequest : activeRequests.values()) {
            if (!activeRequest.completed && open.size() < maxEntries) {
                open.put(
                        activeRequest.clientRequest.id(),
                        (activeRequest.deadlineNanos - now) / Clock.NANOS_PER_MILLISECOND);
            }
        }
        return open;
    }

    /** Connections to hosts. */
    public int connectionCount() {
        return upstream.connectionCount();
    }

    public void collectGauges(Map<String, Object> gauges) {
        gauges.put("open", openRequestCount());
        gauges.put("ledger", activeRequests.size());
        upstream.collectGauges(gauges);
    }

    /** Operators hold these servers out of use, by the names that the list has for them. */
    public void onAdminDrains(Set<String> names) {
        Set<Long> servers = new HashSet<>();
        names.forEach(name -> servers.add(EndpointList.serverId(name)));
        observer.onAdminDrains(names);
        locallyDrained = servers;
        applyDrains();
    }

    /**
     * On others' word these are avoided: by their newer lists, for which the module takes them as
     * drained, and {@code locallyDrained} by their operators, which is as though ours did.
     */
    public void onPeerDrains(Set<Long> servers, Set<Long> adminDrainedByPeers) {
        Set<Long> changed = new TreeSet<>(avoidedServers);
        changed.addAll(servers);
        changed.removeIf(
                id ->
                        avoidedServers.contains(id) == servers.contains(id)
                                || !listedServers.containsKey(id));
        avoidedServers = servers;
        drainedByPeers = adminDrainedByPeers;
        List<Server> entries = changed.stream().map(listedServers::get).map(this::heard).toList();
        post(null, () -> policy.onEndpointUpdate(Clock.now(), EndpointUpdateMode.DELTA, entries));
        applyDrains();
    }

    /** An entry of the list with its start on this program's clock. */
    private Server withLocalStartTime(Server listedServer) {
        if (listedServer.state() == EndpointState.REMOVED) {
            startTimes.forget(listedServer.id());
            return listedServer;
        }
        return new Server(
                listedServer.id(),
                listedServer.zone(),
                listedServer.kind(),
                listedServer.cell(),
                listedServer.state(),
                listedServer.weight(),
                startTimes.toLocalStart(listedServer.id(), listedServer.startedAtNanos()));
    }

    /** An entry of the list as others' newer ones have it. */
    private Server heard(Server server) {
        return server.state() != EndpointState.READY || !avoidedServers.contains(server.id())
                ? server
                : new Server(
                        server.id(),
                        server.zone(),
                        server.kind(),
                        server.cell(),
                        EndpointState.DRAINING,
                        server.weight(),
                        server.startedAtNanos());
    }

    /** The fleet finds these bad. */
    public void onPeerHealthReports(Set<Long> outliers) {
        post(null, () -> policy.onPeerHealthReports(Clock.now(), outliers));
    }

    private void applyDrains() {
        Set<Long> unusable = new HashSet<>(locallyDrained);
        unusable.addAll(drainedByPeers);
        Set<Long> adminDrained = Set.copyOf(unusable);
        unusable.addAll(avoidedServers);
        upstream.setDrainedServers(Set.copyOf(unusable));
        post(null, () -> policy.onAdminDrains(Clock.now(), adminDrained));
    }

    /** Requests that come right behind a pause of this process wait until its sockets are read. */
    public void enableCatchUp() {
        catchUpEnabled = true;
    }

    /** Discovery is asked anew. */
    public void refresh() {
        discovery.refresh();
    }

    /**
     * Whether the list names a server so, or did lately: operators restart what they take out, and
     * discovery may call it gone just before their call comes in.
     */
    public boolean isKnownServer(String name) {
        return upstream.isKnown(EndpointList.serverId(name));
    }

    /** So many further processes of this balancer serve now. */
    public void onSiblingProcesses(int siblingCount) {
        post(null, () -> policy.onSiblingProcesses(Clock.now(), siblingCount));
    }

    /** From now on so many connections to hosts are held at most. */
    public void setMaxConnections(int maxConnections) {
        upstream.setMaxConnections(maxConnections);
    }

    /** Closes what the pool holds idle for too long; called once in a while. */
    public void sweep() {
        lastSweepNanos = Clock.now();
        upstream.sweep();
    }

    // Events for the module, one at a time.

    private void post(ActiveRequest activeRequest, Runnable callback) {
        post(new CallbackEvent(activeRequest, callback));
    }

    private void post(PolicyEvent newEvent) {
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
            // A fault in the module must not take the other requests with it, nor leave this one
            // open.
            counters.logUnexpected("unexpected exception", e);
            if (event.activeRequest != null) {
                completeWithoutPolicy(event.activeRequest);
            }
        }
        if (event.activeRequest != null) {
            removeIfFinished(event.activeRequest);
        }
    }

    private void removeIfFinished(ActiveRequest activeRequest) {
        if (activeRequest.completed
                && activeRequest.pendingOutcomes == 0
                && activeRequests.remove(activeRequest.id) != null) {
            memoryLimiter.release(activeRequest.clientRequest.sizeBytes());
        }
    }

    /** Answers by the rules without the module: a refusal only where nothing can have run. */
    private void completeWithoutPolicy(ActiveRequest activeRequest) {
        boolean mayHaveRun =
                activeRequest.mayHaveRun
                        || activeRequest.attempts.stream().anyMatch(Attempt::isWritten);
        for (Attempt attempt : List.copyOf(activeRequest.attempts)) {
            // The module hears of it, and may answer by it: what never left is told as such.
            abandonAttempt(
                    attempt,
                    attempt.isWritten() ? AttemptResult.CANCELLED : AttemptResult.SUPERSEDED);
        }
        if (!activeRequest.completed) {
            if (mayHaveRun) {
                respondFailed(activeRequest);
            } else {
                respondRejected(activeRequest, RejectionReason.TIMED_OUT_UNSENT, 0);
            }
            post(activeRequest, () -> policy.onClientDisconnect(Clock.now(), activeRequest.id));
        }
    }

    private void abandonAttempt(Attempt attempt, AttemptResult reason) {
        if (!attempt.completed) {
            upstream.abandon(attempt);
            completeAttempt(attempt, reason, null, null);
        }
    }

    /** Reports the one outcome of an attempt. */
    private void completeAttempt(
            Attempt attempt, AttemptResult reason, UpstreamResponse response, ValueStream value) {
        if (attempt.completed) {
            if (value != null) {
                value.cancel();
            }
            return;
        }
        attempt.completed = true;
        attempt.result = reason;
        trace(attempt.activeRequest, "attempt-ended", reason);
        if (attempt.timeoutTask != null) {
            attempt.timeoutTask.cancel(false);
        }
        counters.recordOutcome(reason);
        ActiveRequest activeRequest = attempt.activeRequest;
        activeRequest.mayHaveRun |= !reason.neverRan;
        post(new AttemptOutcomeEvent(attempt, reason, response, value));
    }

    private void respondRejected(
            ActiveRequest activeRequest, RejectionReason reason, long retryAfterMs) {
        counters.rejected(reason);
        trace(activeRequest, "rejected", reason);
        observer.onRequestRejected();
        if (markCompleted(activeRequest)) {
            activeRequest.client.onRejected(retryAfterMs);
        }
    }

    private void respondFailed(ActiveRequest activeRequest) {
        counters.failed++;
        trace(activeRequest, "failed", null);
        observer.onRequestFailed();
        if (markCompleted(activeRequest)) {
            activeRequest.client.onFailed();
        }
    }

    /**
     * True the first time; a request that found no room was never in the ledger, and its id is its
     * own.
     */
    private boolean markCompleted(ActiveRequest activeRequest) {
        if (!activeRequest.markCompleted()) {
            return false;
        }
        long latenessNanos = activeRequest.latenessNanos(Clock.now());
        if (latenessNanos > MAX_LATENESS_NANOS) {
            counters.recordViolation(
                    InvariantViolation.UNANSWERED,
                    activeRequest.clientRequest.id()
                            + ": for "
                            + latenessNanos / Clock.NANOS_PER_MILLISECOND
                            + " ms past its time");
        }
        if (activeRequests.containsKey(activeRequest.id)) {
            openRequestIds.remove(activeRequest.clientRequest.id());
        }
        return true;
    }

    // What the module asks for, carried out in its order.

    @Override
    public void send(long requestId, long serverId, long abandonAtNanos) {
        ActiveRequest activeRequest = activeRequests.get(requestId);
        if (activeRequest == null) {
            counters.warn("send for a request that is over: " + requestId);
            return;
        }
        long now = Clock.now();
        long timeoutAtNanos =
                abandonAtNanos <= 0
                        ? activeRequest.deadlineNanos
                        : Math.min(abandonAtNanos, activeRequest.deadlineNanos);
        Attempt attempt =
                new Attempt(
                        activeRequest,
                        activeRequest.attempts.size(),
                        serverId,
                        now,
                        timeoutAtNanos,
                        observer.versionSequence());
        if (attempt.number > 0) {
            counters.recordRetry(activeRequest.attempts.get(attempt.number - 1).result);
        }
        activeRequest.attempts.add(attempt);
        activeRequest.pendingOutcomes++;
        boolean hasTooManyAttempts =
                activeRequest.attempts.size() > deploymentSettings().policySettings.maxAttempts();
        if (activeRequest.completed || hasTooManyAttempts || now >= activeRequest.deadlineNanos) {
            completeAttempt(attempt, AttemptResult.SUPERSEDED, null, null);
        } else if (now >= timeoutAtNanos) {
            completeAttempt(attempt, AttemptResult.TIMEOUT, null, null);
        } else {
            attempt.timeoutTask =
                    loop.schedule(
                            new AttemptTimeout(attempt),
                            timeoutAtNanos - now,
                            TimeUnit.NANOSECONDS);
            upstream.send(attempt, serverId);
        }
    }

    @Override
    public void cancel(long requestId, int attemptNumber) {
        ActiveRequest activeRequest = activeRequests.get(requestId);
        if (activeRequest != null && attemptNumber < activeRequest.attempts.size()) {
            abandonAttempt(activeRequest.attempts.get(attemptNumber), AttemptResult.CANCELLED);
        }
    }

    @Override
    public void reject(long requestId, long retryAfterNanos) {
        ActiveRequest activeRequest = activeRequests.get(requestId);
        if (activeRequest != null && !activeRequest.completed) {
            PolicySettings settings = deploymentSettings().policySettings;
            long cappedRetryAfterNanos =
                    settings.retryAfterSupported()
                            ? Math.min(retryAfterNanos, settings.maxRetryAfterNanos())
                            : 0;
            respondRejected(
                    activeRequest,
                    RejectionReason.BY_POLICY,
                    (cappedRetryAfterNanos + Clock.NANOS_PER_MILLISECOND - 1)
                            / Clock.NANOS_PER_MILLISECOND);
        }
    }

    @Override
    public void fail(long requestId) {
        ActiveRequest activeRequest = activeRequests.get(requestId);
        if (activeRequest != null && !activeRequest.completed) {
            respondFailed(activeRequest);
        }
    }

    @Override
    public void scheduleTimer(long atNanos, int token) {
        loop.schedule(
                new TimerEvent(atNanos, token),
                Math.max(0, atNanos - Clock.now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdleConnections(long serverId) {
        upstream.closeIdleConnections(serverId);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }
}
