package frostrelay.node.proxy;

import frostrelay.node.config.Config;
import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.DeploymentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.discovery.DiscoveryClient;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.RejectionReason;
import frostrelay.node.net.MemoryLimiter;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.AttemptResult;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.PolicySettings;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Connects clients, the policy and the upstream: accepts requests, passes events to the policy and
 * executes its actions. The policy alone decides which requests are sent, retried, rejected or
 * failed. Runs on the event loop.
 */
public final class RequestDispatcher
        implements PolicyActions, Upstream.Listener, DiscoveryClient.Listener {
    /** Creates the policy. */
    public interface PolicyFactory {
        /** Creates a policy that calls {@code actions} for its decisions. */
        PolicyEvents create(PolicySettings settings, long seed, PolicyActions actions);
    }

    private final CurrentSettings currentSettings;
    private final EventLoop loop;
    private final Counters counters;
    private final DecisionObserver observer;
    private final RequestTable requestTable;
    private final RequestCompletion completion;
    private final PolicyEventQueue events;
    private final SendGuard sendGuard;
    private final StallDetector stallDetector = new StallDetector();
    private final Upstream upstream;
    private final DiscoveryClient discovery;
    private final PolicyEvents policy;
    private final AttemptTracker attempts;
    private final DeadlineFallback deadlineFallback;
    private final RequestAdmission admission;
    private final EndpointUpdates endpointUpdates;
    private final EndpointSubscription endpointSubscription;

    /**
     * Creates a dispatcher and applies the configuration's endpoint list. To be called on the event
     * loop.
     *
     * @param sharedState the state that the processes of this balancer share: drains, overrides and
     *     descriptor usage
     * @param wallClockMillis Unix time in milliseconds
     */
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
        this.observer = observer;
        this.currentSettings = new CurrentSettings(config.settings());
        this.loop = loop;
        this.counters = counters;
        this.requestTable = new RequestTable(memoryLimiter);
        this.completion = new RequestCompletion(counters, observer, requestTable);
        this.events = new PolicyEventQueue(counters, requestTable, this::completeWithoutPolicy);
        this.sendGuard = new SendGuard(guard, currentSettings, counters);
        this.upstream = upstreamFactory.create(currentSettings, this);
        this.discovery = new DiscoveryClient(config, currentSettings, loop, this);
        this.endpointSubscription = new EndpointSubscription(loop, discovery);
        this.policy = policyFactory.create(config.settings().policySettings, config.seed(), this);
        this.attempts =
                new AttemptTracker(
                        loop,
                        counters,
                        currentSettings,
                        observer,
                        completion,
                        events,
                        upstream,
                        policy);
        this.deadlineFallback =
                new DeadlineFallback(loop, counters, completion, attempts, events, policy);
        this.admission =
                new RequestAdmission(
                        loop,
                        counters,
                        currentSettings,
                        guard,
                        observer,
                        requestTable,
                        completion,
                        deadlineFallback,
                        stallDetector,
                        events,
                        policy);
        this.endpointUpdates =
                new EndpointUpdates(observer, upstream, events, policy, wallClockMillis);
        applyInitialState(config, sharedState);
    }

    private void applyInitialState(Config config, SharedDirectory.Snapshot sharedState) {
        onSiblingProcesses(sharedState.peerProcessCount());
        onAdminDrains(sharedState.adminDrains());
        EndpointList cachedList = config.initialEndpoints();
        onEndpointList(EndpointUpdateMode.CACHED, cachedList.revision(), cachedList.endpoints());
        endpointSubscription.startInitialWait(deploymentSettings().policySettings.subscribe());
    }

    /**
     * Returns a future that is completed when clients may be served. If lists are pushed, the
     * agent's list applies from the start of this process and the list in the configuration may be
     * outdated, so nothing is sent before the agent has responded, has failed, or has timed out.
     */
    public Future<Void> initialEndpointsReceived() {
        return endpointSubscription.initialListReceived();
    }

    // Requests of clients.

    /**
     * Accepts a request, which gets exactly one response unless its client disconnects first.
     *
     * @param arrivedAtNanos the time at which the request had arrived completely, from which the
     *     client's timeout is counted
     * @throws IdInUseException if another request with this id is open: servers identify requests
     *     by their ids alone, so the second request could be served with the response to the first
     */
    public ActiveRequest accept(
            ClientRequest clientRequest,
            long arrivedAtNanos,
            ActiveRequest.ResponseListener responseListener)
            throws IdInUseException {
        return admission.accept(clientRequest, arrivedAtNanos, responseListener);
    }

    /** Handles the disconnect of an open request's client, after which no response is sent. */
    public void onClientDisconnect(ActiveRequest activeRequest) {
        admission.onClientDisconnect(activeRequest);
    }

    /** Moves the deadlines of all open requests that are later than the given time to that time. */
    public void capDeadlines(long latestDeadlineNanos) {
        admission.capDeadlines(latestDeadlineNanos);
    }

    private void completeWithoutPolicy(ActiveRequest activeRequest) {
        deadlineFallback.completeWithoutPolicy(activeRequest);
    }

    // Endpoint lists, drains and settings.

    @Override
    public void onEndpointList(
            EndpointUpdateMode mode, long rev, List<EndpointList.Endpoint> members) {
        endpointUpdates.apply(mode, rev, members);
        if (!deploymentSettings().policySettings.subscribe()) {
            endpointSubscription.onEndpointList(mode);
        }
    }

    /** Replaces the set of administratively drained servers, given by their listed names. */
    public void onAdminDrains(Set<String> names) {
        endpointUpdates.setAdminDrains(names);
    }

    /**
     * Replaces the sets of servers that are not used because of drains known to peers.
     *
     * @param servers drained according to newer endpoint lists of peers
     * @param adminDrainedByPeers drained by operators at peers, with the same effect as a drain at
     *     this process
     */
    public void onPeerDrains(Set<Long> servers, Set<Long> adminDrainedByPeers) {
        endpointUpdates.setPeerDrains(servers, adminDrainedByPeers);
    }

    /** Replaces the set of servers that are outliers by the peers' combined health reports. */
    public void onPeerHealthReports(Set<Long> outliers) {
        events.post(null, () -> policy.onPeerHealthReports(Clock.now(), outliers));
    }

    /** Passes on the number of other processes of this balancer that are serving. */
    public void onSiblingProcesses(int siblingCount) {
        events.post(null, () -> policy.onSiblingProcesses(Clock.now(), siblingCount));
    }

    /** Applies the run-time changeable parts of a configuration: settings and discovery. */
    public void reload(Config newConfig) {
        observer.onConfig(newConfig);
        currentSettings.replace(newConfig.settings());
        events.post(
                null, () -> policy.onSettings(Clock.now(), newConfig.settings().policySettings));
        discovery.moveTo(newConfig.discoveryAddress());
    }

    /** Returns the settings that currently apply. */
    public DeploymentSettings deploymentSettings() {
        return currentSettings.get();
    }

    /** Polls discovery immediately. */
    public void refresh() {
        discovery.refresh();
    }

    /**
     * Returns whether the endpoint list contains this server or did so recently. Operators restart
     * servers that they drain, so discovery may remove a server just before an operator's command
     * for it arrives.
     */
    public boolean isKnownServer(String name) {
        return upstream.isKnown(EndpointList.serverId(name));
    }

    // Periodic tasks and views.

    /** Enables the delay of requests after a stall until the sockets have been read. */
    public void enableCatchUp() {
        stallDetector.enable();
    }

    /** Closes connections that are idle for too long. Must be called four times a second. */
    public void sweep() {
        stallDetector.onSweep();
        upstream.sweep();
    }

    /** Changes the limit on connections to servers. */
    public void setMaxConnections(int maxConnections) {
        upstream.setMaxConnections(maxConnections);
    }

    /** Returns the number of connections to servers that are open or being opened. */
    public int connectionCount() {
        return upstream.connectionCount();
    }

    /** Returns the number of requests that have no final response yet. */
    public int openRequestCount() {
        return requestTable.openCount();
    }

    /** Returns the first open requests: for each id the milliseconds until the deadline. */
    public Map<String, Object> openRequests(int maxEntries) {
        return requestTable.openRequests(maxEntries);
    }

    /** Adds the gauges of requests and of connections to servers. */
    public void collectGauges(Map<String, Object> gauges) {
        gauges.put("open", openRequestCount());
        gauges.put("ledger", requestTable.size());
        upstream.collectGauges(gauges);
        SlowStartGauges.collect(policy.slowStartStatus(Clock.now()), gauges);
    }

    // Attempts, as reported by the upstream.

    @Override
    public ActionGuard.SendDecision maySend(Attempt attempt, long sendAllowedUntilNanos) {
        return sendGuard.check(attempt, sendAllowedUntilNanos);
    }

    @Override
    public long remainingTimeoutNanos(Attempt attempt) {
        return sendGuard.remainingTimeoutNanos(attempt);
    }

    @Override
    public void onWriteStarted(Attempt attempt, int serverNumber) {
        attempts.onWriteStarted(attempt, serverNumber);
    }

    @Override
    public void onWritten(Attempt attempt, long sendAllowedUntilNanos) {
        sendGuard.verifyWritten(attempt, sendAllowedUntilNanos);
    }

    @Override
    public int serverNumber(String uid) {
        return observer.cacheNumber(uid);
    }

    @Override
    public void onAttemptCompleted(
            Attempt attempt, AttemptResult result, UpstreamResponse response, ValueStream value) {
        attempts.complete(attempt, result, response, value);
    }

    // Actions of the policy, executed in the order of its calls.

    @Override
    public void send(long requestId, long serverId, long abandonAtNanos) {
        ActiveRequest activeRequest = requestTable.get(requestId);
        if (activeRequest == null) {
            counters.warn(
                    "ignored a send by the policy for a request that is already finished: "
                            + requestId);
            return;
        }
        attempts.start(activeRequest, serverId, abandonAtNanos);
    }

    @Override
    public void cancel(long requestId, int attemptNumber) {
        ActiveRequest activeRequest = requestTable.get(requestId);
        if (activeRequest != null && attemptNumber < activeRequest.attempts.size()) {
            attempts.abandon(activeRequest.attempts.get(attemptNumber), AttemptResult.CANCELLED);
        }
    }

    @Override
    public void reject(long requestId, long retryAfterNanos) {
        ActiveRequest activeRequest = requestTable.get(requestId);
        if (activeRequest == null || activeRequest.completed) {
            return;
        }
        PolicySettings settings = deploymentSettings().policySettings;
        long cappedRetryAfterNanos =
                settings.retryAfterSupported()
                        ? Math.min(retryAfterNanos, settings.maxRetryAfterNanos())
                        : 0;
        long retryAfterMillis =
                (cappedRetryAfterNanos + Clock.NANOS_PER_MILLISECOND - 1)
                        / Clock.NANOS_PER_MILLISECOND;
        completion.reject(activeRequest, RejectionReason.BY_POLICY, retryAfterMillis);
    }

    @Override
    public void fail(long requestId) {
        ActiveRequest activeRequest = requestTable.get(requestId);
        if (activeRequest != null && !activeRequest.completed) {
            completion.fail(activeRequest);
        }
    }

    @Override
    public void scheduleTimer(long atNanos, int token) {
        loop.schedule(
                new TimerEvent(atNanos, token),
                Math.max(0, atNanos - Clock.now()),
                TimeUnit.NANOSECONDS);
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
            events.post(this);
        }

        @Override
        void dispatch() {
            policy.onTimer(Clock.now(), token);
        }
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
