package frostrelay.node;

import frostrelay.gossip.AppliedVersions;
import frostrelay.node.admin.AdminOperations;
import frostrelay.node.admin.AdminServer;
import frostrelay.node.admin.OverrideDecision;
import frostrelay.node.client.ClientListener;
import frostrelay.node.cluster.ClusterMembership;
import frostrelay.node.cluster.TestHooks;
import frostrelay.node.config.Config;
import frostrelay.node.config.ConfigException;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.config.SharedSettingsCodec;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.lifecycle.DrainSchedule;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.Counters;
import frostrelay.node.net.TrafficMemory;
import frostrelay.node.proxy.RequestDispatcher;
import frostrelay.node.time.Clock;
import frostrelay.node.upstream.UpstreamConnectionPool;
import frostrelay.policy.api.EndpointUpdateMode;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One balancer: assembles its components and owns their lifecycle. Everything runs on one event
 * loop, including all calls of this class, except for the file I/O of the shared directory.
 */
final class Node implements AdminOperations {
    private static final long SWEEP_INTERVAL_MILLIS = 250;

    /** An administrator's call must be received completely within this time. */
    private static final long ADMIN_CALL_TIMEOUT_MILLIS = 2_000;

    private Config config;
    private final EventLoop loop;
    private final Counters counters = new Counters();
    private final TrafficMemory memory = new TrafficMemory();
    private final ActionGuard actionGuard = new ActionGuard();
    private final ServingState servingState = new ServingState(actionGuard);
    private final DescriptorLimits descriptorLimits;
    private final RequestDispatcher dispatcher;
    private final ClientListener clientListener;
    private final ClusterMembership membership;
    private final SharedStateSync sharedStateSync;

    /** Null if there is no address for administrators. */
    private AdminServer adminServer;

    /** Reads the configuration file again, on another thread. */
    private Runnable rereadAction = () -> {};

    private int sweepCount;
    private int sweepsPerReport;

    /**
     * The minimum, over all settings in effect since the start, of the longest request deadline:
     * the delay between SIGTERM and SIGKILL may be derived from any of these settings.
     */
    private long longestDeadlineNanos;

    /**
     * Creates a node; to be called on the event loop, like all methods of this class.
     *
     * @param sharedState the shared directory's state at the start
     */
    Node(
            Config config,
            EventLoop loop,
            RequestDispatcher.PolicyFactory module,
            SharedDirectory sharedDirectory,
            SharedDirectory.Snapshot sharedState,
            Options options,
            TestHooks hooks) {
        this.config = config;
        this.loop = loop;
        longestDeadlineNanos = config.settings().longestDeadlineNanos();
        setReportInterval(options.reportIntervalNanos());
        membership =
                ClusterMembership.of(
                        config, options.cluster(), hooks, loop, counters, new ClusterActions());
        descriptorLimits = new DescriptorLimits(config.descriptorLimit());
        dispatcher = newDispatcher(module, sharedState, hooks);
        if (options.cluster().stalenessDetection()) {
            dispatcher.enableCatchUp();
        }
        clientListener =
                new ClientListener(
                        dispatcher,
                        loop,
                        counters,
                        memory,
                        actionGuard,
                        descriptorLimits.maxClients(sharedState),
                        descriptorLimits.maxSurplusClients());
        sharedStateSync =
                new SharedStateSync(
                        loop,
                        sharedDirectory,
                        sharedState,
                        descriptorLimits,
                        dispatcher,
                        clientListener,
                        memory,
                        membership);
    }

    private RequestDispatcher newDispatcher(
            RequestDispatcher.PolicyFactory module,
            SharedDirectory.Snapshot sharedState,
            TestHooks hooks) {
        return new RequestDispatcher(
                config,
                loop,
                counters,
                module,
                (currentSettings, listener) ->
                        new UpstreamConnectionPool(
                                currentSettings,
                                loop,
                                counters,
                                descriptorLimits.maxUpstreamConnections(sharedState),
                                memory,
                                listener),
                memory.requests(),
                actionGuard,
                sharedState,
                membership.observer(),
                hooks.wallClock());
    }

    /** The actions that the cluster membership triggers at this node. */
    private final class ClusterActions implements ClusterMembership.Actions {
        @Override
        public void refreshEndpoints() {
            dispatcher.refresh();
        }

        @Override
        public void rereadConfig() {
            rereadAction.run();
        }

        @Override
        public void setAvoidedCaches(Set<Long> caches, Set<Long> drainedIds) {
            dispatcher.onPeerDrains(caches, drainedIds);
        }

        @Override
        public void setWithdrawn(boolean isActive) {
            servingState.setDrainedAsStale(isActive);
        }

        @Override
        public void setOutliers(Set<Long> caches) {
            dispatcher.onPeerHealthReports(caches);
        }

        @Override
        public byte[] encodeSettings() {
            return SharedSettingsCodec.encode(config.json());
        }

        @Override
        public boolean applySettings(long digest, byte[] packed) {
            return applyPeerSettings(digest, packed);
        }
    }

    /**
     * Starts to listen for administrators and, once the endpoints are known, for clients; the node
     * is then ready to serve. Completed with the bound channel for clients.
     */
    Future<ChannelFuture> start() {
        loop.scheduleAtFixedRate(
                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        Promise<ChannelFuture> started = loop.newPromise();
        if (config.adminAddress() == null) {
            listenOnceEndpointsKnown(started);
        } else {
            adminServer = new AdminServer(loop, this, ADMIN_CALL_TIMEOUT_MILLIS);
            adminServer
                    .listen(config.adminAddress())
                    .addListener(
                            bound -> {
                                if (bound.isSuccess()) {
                                    listenOnceEndpointsKnown(started);
                                } else {
                                    started.setFailure(bound.cause());
                                }
                            });
        }
        return started;
    }

    private void listenOnceEndpointsKnown(Promise<ChannelFuture> started) {
        dispatcher.initialEndpointsReceived().addListener(endpointsKnown -> listen(started));
    }

    private void listen(Promise<ChannelFuture> started) {
        if (actionGuard.isShuttingDown()) {
            // Shut down before serving: the process ends and no caller waits for the promise.
            return;
        }
        ChannelFuture bindFuture = clientListener.listen(config.listenAddress());
        bindFuture.addListener(
                bound -> {
                    if (bound.isSuccess() && !actionGuard.isShuttingDown()) {
                        servingState.onListening();
                        membership.onServing();
                        sharedStateSync.start();
                        started.setSuccess(bindFuture);
                    } else if (!bound.isSuccess()) {
                        started.setFailure(bound.cause());
                    }
                });
    }

    private void sweep() {
        dispatcher.sweep();
        membership.tick();
        clientListener.closeTimedOut();
        memory.check(counters, clientListener.connectionCount() + dispatcher.connectionCount());
        if (++sweepCount % sweepsPerReport == 0) {
            logCounters();
        }
    }

    private void logCounters() {
        counters.logReport(gauges());
    }

    Map<String, Object> gauges() {
        Map<String, Object> gauges = new LinkedHashMap<>();
        gauges.put("clients", clientListener.connectionCount());
        memory.collectGauges(gauges);
        dispatcher.collectGauges(gauges);
        return gauges;
    }

    /** Applies an endpoint list that does not come from discovery. */
    void onEndpointList(EndpointUpdateMode mode, List<EndpointList.Endpoint> members) {
        dispatcher.onEndpointList(mode, 0, members);
    }

    /** Sets the interval between reports of the counters. */
    void setReportInterval(long intervalNanos) {
        sweepsPerReport =
                (int)
                        Math.max(
                                1,
                                intervalNanos
                                        / (SWEEP_INTERVAL_MILLIS * Clock.NANOS_PER_MILLISECOND));
    }

    String name() {
        return config.name();
    }

    /**
     * Replaces the configuration.
     *
     * @return false if the new configuration is invalid; the current one then stays in effect
     */
    boolean reload(Map<?, ?> json) {
        try {
            config = config.replacedBy(json);
            descriptorLimits.onReload(config.descriptorLimit());
            longestDeadlineNanos =
                    Math.min(longestDeadlineNanos, config.settings().longestDeadlineNanos());
            dispatcher.reload(config);
            Log.write(
                    Event.SETTINGS_APPLIED,
                    config.settings().classNames(),
                    config.settings().policySettings.maxAttempts());
            return true;
        } catch (ConfigException e) {
            Log.write(Event.SETTINGS_REJECTED, e.getMessage());
            membership.observer().onConfigRejected(e.getMessage());
            membership.onConfigRejected(
                    Json.get(json, "version", Number.class, AppliedVersions.NO_NUMBER).longValue());
            return false;
        }
    }

    /** Applies another balancer's settings, until the next reload of the file. */
    private boolean applyPeerSettings(long digest, byte[] packed) {
        Map<?, ?> newConfig;
        try {
            newConfig = SharedSettingsCodec.withSharedSettings(config.json(), packed, digest);
        } catch (ConfigException e) {
            counters.warn("settings from a peer: " + e.getMessage());
            return false;
        }
        Log.write(Event.SETTINGS_RECEIVED_FROM_PEER, newConfig.get("version"));
        return reload(newConfig);
    }

    /** Sets the action to run when peers use a newer configuration; it must not block. */
    void setRereadAction(Runnable action) {
        rereadAction = action;
    }

    @Override
    public Future<Boolean> setOverride(OverrideDecision decision) {
        return sharedStateSync.setOverride(decision);
    }

    /** Records that the new configuration file could not be read or parsed. */
    void onUnreadableConfig(String reason) {
        membership.observer().onConfigRejected(reason);
    }

    @Override
    public byte[] auditStatement() {
        return membership.statusJson();
    }

    @Override
    public byte[] auditRecord() {
        return membership.auditRecord();
    }

    @Override
    public boolean isReady() {
        return servingState.isServing();
    }

    @Override
    public void startDrain() {
        servingState.startDrain();
    }

    @Override
    public void stopDrain() {
        servingState.stopDrain();
    }

    @Override
    public Future<Boolean> setAdminDrain(String id, boolean isDrained) {
        return sharedStateSync.setAdminDrain(id, isDrained);
    }

    /**
     * Starts a graceful shutdown.
     *
     * @param isReplaced whether another process of this balancer listens, so that there is no need
     *     to wait for new clients
     * @param signalledAtNanos when the shutdown was requested; the delay before a SIGKILL starts at
     *     this time
     */
    ShutdownSequence stop(boolean isReplaced, long signalledAtNanos) {
        DrainSchedule schedule = DrainSchedule.forShutdown(signalledAtNanos, longestDeadlineNanos);
        Log.write(
                Event.SHUTDOWN_STARTED,
                isReplaced,
                (schedule.acceptUntilNanos() - signalledAtNanos) / Clock.NANOS_PER_MILLISECOND,
                (schedule.answerUntilNanos() - signalledAtNanos) / Clock.NANOS_PER_MILLISECOND);
        servingState.startShutdown(schedule);
        dispatcher.capDeadlines(schedule.answerUntilNanos());
        membership.onShutdown(isReplaced);
        ShutdownSequence shutdown =
                new ShutdownSequence(
                        loop,
                        clientListener,
                        dispatcher,
                        counters,
                        signalledAtNanos,
                        schedule,
                        this::finishShutdown);
        shutdown.answered().addListener(done -> stopListeningForAdministrators());
        shutdown.start(isReplaced);
        return shutdown;
    }

    /** Gives the address up, as the next process of this balancer may use it. */
    private void stopListeningForAdministrators() {
        if (adminServer != null) {
            adminServer.stopListening();
        }
    }

    private void finishShutdown() {
        logCounters();
        membership.close();
    }
}
