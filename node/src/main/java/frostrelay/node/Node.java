package frostrelay.node;

import frostrelay.gossip.AppliedVersions;
import frostrelay.node.admin.AdminOperations;
import frostrelay.node.admin.AdminServer;
import frostrelay.node.client.ClientListener;
import frostrelay.node.cluster.ClusterMembership;
import frostrelay.node.cluster.TestHooks;
import frostrelay.node.config.Config;
import frostrelay.node.config.ConfigException;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.config.SharedSettingsCodec;
import frostrelay.node.lifecycle.ActionGuard;
import frostrelay.node.lifecycle.DescriptorUsage;
import frostrelay.node.lifecycle.DrainSchedule;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.Counters;
import frostrelay.node.metrics.InvariantViolation;
import frostrelay.node.net.MemoryLimiter;
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
 * One balancer, put together: everything it has lives on one event loop, but for the looks at its
 * shared folder.
 */
final class Node implements AdminOperations {
    private static final long SHUTDOWN_POLL_MILLIS = 10;

    /** A shutdown tells how far it is so often, and names so many open requests. */
    private static final long PROGRESS_INTERVAL_NANOS = 500 * Clock.NANOS_PER_MILLISECOND;

    private static final int MAX_LISTED_REQUESTS = 10;
    private static final long SWEEP_INTERVAL_MILLIS = 250;

    /** An operator's call must be whole within this time. */
    private static final long ADMIN_CALL_TIMEOUT_MILLIS = 2_000;

    /**
     * Descriptors kept for the JVM itself (11 when idle), discovery, the console, the listening
     * sockets and accepts.
     */
    private static final int MAX_RESERVED_DESCRIPTORS = 48;

    private static final int RESERVED_DESCRIPTORS_DIVISOR = 4;

    /**
     * Clients hold a third of the descriptors at most for requests. At just that many, each
     * connection that has closed and was not seen to yet costs a good one its place, so there are
     * some more for these, for those that only say nothing, and for those that are kept just to be
     * refused.
     */
    private static final int REQUEST_CLIENTS_DIVISOR = 3;

    private static final int EXTRA_CLIENTS_DIVISOR = 8;
    private static final int SURPLUS_CLIENTS_DIVISOR = 16;
    private static final int MAX_SURPLUS_CLIENTS = 16;

    /** Bytes of values that may be held together; the heap has room for a few times that. */
    private static final long MAX_VALUE_BYTES = 8L * 1024 * 1024;

    private enum Phase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPING
    }

    private Config config;
    private final EventLoop loop;
    private final SharedDirectory sharedDirectory;
    private final Counters counters = new Counters();
    private final MemoryLimiter memoryLimiter = new MemoryLimiter(MAX_VALUE_BYTES);
    private final ActionGuard actionGuard = new ActionGuard();
    private final RequestDispatcher dispatcher;
    private final ClientListener clientListener;
    private final ClusterMembership membership;

    /** Reads the configuration's file again, elsewhere than on this loop. */
    private Runnable rereadAction = () -> {};

    /** It drains because it lags behind. */
    private boolean isDrainedAsStale;

    private Phase phase = Phase.STARTING;

    /** Further processes of this balancer: descriptors are shared with them. */
    private int peerProcessCount;

    /** What this process had in use lately; read by the folder's thread. */
    private volatile DescriptorUsage descriptorUsage = new DescriptorUsage(0, 0);

    /** Descriptors for clients and for hosts, over all processes. */
    private final int maxClientDescriptors;

    private final int maxUpstreamDescriptors;

    /** What operators hold out of use. */
    private Set<String> adminDrains;

    /** What operators decided in place of the program. */
    private Set<String> overrides;

    private int sweepCount;
    private int sweepsPerReport;

    /**
     * The longest deadline of a request, under the settings of this life that have the shortest
     * such: a kill may go by either.
     */
    private long longestDeadlineNanos;

    /** When the shutdown began, and how far into it its progress was told last. */
    private long shutdownRequestedAtNanos;

    private long progressLoggedAtNanos;

    /**
     * To be called on the loop, as all of this class. {@code sharedState}: what the folder showed.
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
        longestDeadlineNanos = config.settings().longestDeadlineNanos();
        setReportInterval(options.reportIntervalNanos());
        this.membership =
                ClusterMembership.of(
                        config,
                        options.cluster(),
                        hooks,
                        loop,
                        counters,
                        new ClusterMembership.Actions() {
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
                                setDrainedAsStale(isActive);
                            }

                            @Override
                            public void setOutliers(Set<Long> caches) {
                                dispatcher.onPeerHealthReports(caches);
                            }

                            @Override
                            public byte[] encodeSettings() {
                                return SharedSettingsCodec.encode(Node.this.config.json());
                            }

                            @Override
                            public boolean applySettings(long digest, byte[] packed) {
                                return applyPeerSettings(digest, packed);
                            }
                        });
        this.loop = loop;
        this.sharedDirectory = sharedDirectory;
        int descriptorLimit = config.descriptorLimit();
        int maxSurplusClients =
                Math.min(MAX_SURPLUS_CLIENTS, descriptorLimit / SURPLUS_CLIENTS_DIVISOR);
        peerProcessCount = sharedState.peerProcessCount();
        adminDrains = sharedState.adminDrains();
        overrides = sharedState.overrides();
        maxClientDescriptors =
                Math.max(
                        1,
                        descriptorLimit / REQUEST_CLIENTS_DIVISOR
                                + descriptorLimit / EXTRA_CLIENTS_DIVISOR);
        maxUpstreamDescriptors =
                Math.max(
                        1,
                        descriptorLimit
                                - reservedDescriptors()
                                - maxClientDescriptors
                                - maxSurplusClients);
        dispatcher =
                new RequestDispatcher(
                        config,
                        loop,
                        counters,
                        module,
                        (currentSettings, listener) ->
                                new UpstreamConnectionPool(
                                        currentSettings,
                                        loop,
                                        counters,
                                        maxUpstreamConnections(sharedState),
                                        listener),
                        memoryLimiter,
                        actionGuard,
                        sharedState,
                        membership.observer(),
                        hooks.wallClock());
        if (options.cluster().stalenessDetection()) {
            dispatcher.enableCatchUp();
        }
        clientListener =
                new ClientListener(
                        dispatcher,
                        loop,
                        counters,
                        memoryLimiter,
                        actionGuard,
                        maxClients(sharedState),
                        maxSurplusClients);
    }

    private int reservedDescriptors() {
        return Math.min(
                MAX_RESERVED_DESCRIPTORS, config.descriptorLimit() / RESERVED_DESCRIPTORS_DIVISOR);
    }

    /** What the other processes have in use is theirs, but for a part that is always ours. */
    private int maxClients(SharedDirectory.Snapshot sharedState) {
        return Math.max(
                maxClientDescriptors / (1 + sharedState.peerProcessCount()),
                maxClientDescriptors - sharedState.peerUsage().clients());
    }

    /** Likewise; each further process has a reserve of its own. */
    private int maxUpstreamConnections(SharedDirectory.Snapshot sharedState) {
        int availableDescriptors =
                Math.max(
                        1 + sharedState.peerProcessCount(),
                        maxUpstreamDescriptors
                                - sharedState.peerProcessCount() * reservedDescriptors());
        return Math.max(
                availableDescriptors / (1 + sharedState.peerProcessCount()),
                availableDescriptors - sharedState.peerUsage().upstreams());
    }

    /**
     * Begins to listen, to operators first: from then on it is ready to serve. Done with the
     * clients' channel.
     */
    Future<ChannelFuture> start() {
        loop.scheduleAtFixedRate(
                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        Promise<ChannelFuture> started = loop.newPromise();
        if (config.adminAddress() == null) {
            listenOnceEndpointsKnown(started);
        } else {
            new AdminServer(loop, this, ADMIN_CALL_TIMEOUT_MILLIS)
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
        dispatcher.heard().addListener(endpointsKnown -> listen(started));
    }

    private void listen(Promise<ChannelFuture> started) {
        if (actionGuard.isShuttingDown()) {
            // Asked to end before it served at all: the process ends, and nobody waits for this.
            return;
        }
        ChannelFuture bindFuture = clientListener.listen(config.listenAddress());
        bindFuture.addListener(
                bound -> {
                    if (bound.isSuccess() && !actionGuard.isShuttingDown()) {
                        phase = Phase.SERVING;
                        membership.onServing();
                        membership.setOverrides(overrides);
                        sharedDirectory.announceAndPoll(
                                () -> descriptorUsage,
                                sharedState -> loop.execute(() -> applySharedState(sharedState)));
                        started.setSuccess(bindFuture);
                    } else if (!bound.isSuccess()) {
                        started.setFailure(bound.cause());
                    }
                });
    }

    private void applySharedState(SharedDirectory.Snapshot sharedState) {
        applyAdminDrains(sharedState.adminDrains());
        if (!sharedState.overrides().equals(overrides)) {
            overrides = sharedState.overrides();
            Log.write(Event.OVERRIDES, overrides);
            membership.setOverrides(overrides);
        }
        int count = sharedState.peerProcessCount();
        if (count != peerProcessCount) {
            Log.write(
                    count > peerProcessCount
                            ? Event.PEER_PROCESS_SERVING
                            : Event.PEER_PROCESS_ENDED,
                    count);
            // The younger speaks for both: it is the one that goes on.
            membership.setGossipActive(count < peerProcessCount);
            peerProcessCount = count;
            dispatcher.onSiblingProcesses(peerProcessCount);
        }
        descriptorUsage =
                new DescriptorUsage(clientListener.connectionCount(), dispatcher.connectionCount());
        // Descriptors are counted over all processes of this balancer.
        clientListener.setMaxConnections(maxClients(sharedState));
        dispatcher.setMaxConnections(maxUpstreamConnections(sharedState));
    }

    /** What operators hold, as kept for all processes of this balancer. */
    private void applyAdminDrains(Set<String> drainedIds) {
        if (!drainedIds.equals(adminDrains)) {
            Log.write(Event.ADMIN_DRAINS, drainedIds);
            adminDrains = drainedIds;
            dispatcher.onAdminDrains(drainedIds);
        }
    }

    private void sweep() {
        dispatcher.sweep();
        membership.tick();
        clientListener.closeTimedOut();
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
        gauges.put("held", memoryLimiter.reservedBytes());
        dispatcher.collectGauges(gauges);
        return gauges;
    }

    /** A list of hosts from elsewhere than discovery. */
    void onEndpointList(EndpointUpdateMode mode, List<EndpointList.Endpoint> members) {
        dispatcher.onEndpointList(mode, 0, members);
    }

    /** From now on counts are printed every so many nanoseconds. */
    final void setReportInterval(long intervalNanos) {
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
     * The configuration was replaced by this; one that cannot be used changes nothing, and false is
     * returned.
     */
    boolean reload(Map<?, ?> json) {
        try {
            config = config.replacedBy(json);
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

    /** Another balancer's settings in place of these, until a file says otherwise. */
    private boolean applyPeerSettings(long digest, byte[] packed) {
        Map<?, ?> newConfig;
        try {
            newConfig = SharedSettingsCodec.withSharedSettings(config.json(), packed, digest);
        } catch (ConfigException e) {
            counters.warn("settings handed over: " + e.getMessage());
            return false;
        }
        Log.write(Event.SETTINGS_RECEIVED_FROM_PEER, newConfig.get("version"));
        return reload(newConfig);
    }

    /** What is to be done where others act on a later configuration; must not wait. */
    void setRereadAction(Runnable action) {
        rereadAction = action;
    }

    @Override
    public Future<Boolean> setOverride(String decision, boolean isActive) {
        if (!membership.detectsStaleness()) {
            return loop.newSucceededFuture(false);
        }
        Promise<Boolean> completion = loop.newPromise();
        sharedDirectory.setOverride(
                decision,
                isActive,
                (activeOverrides, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        membership.setOverrides(activeOverrides);
                                        completion.setSuccess(true);
                                    } else {
                                        completion.setFailure(failure);
                                    }
                                }));
        return completion;
    }

    /** A replaced configuration that is none at all. */
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

    /** As a drain does, but an operators' drain is theirs to end. */
    private void setDrainedAsStale(boolean isActive) {
        if (isActive && phase == Phase.SERVING) {
            isDrainedAsStale = true;
            startDrain();
        } else if (!isActive && isDrainedAsStale) {
            stopDrain();
        }
    }

    @Override
    public boolean isReady() {
        return phase == Phase.SERVING;
    }

    @Override
    public void startDrain() {
        if (phase == Phase.SERVING) {
            Log.write(Event.DRAIN_STARTED);
            phase = Phase.DRAINING;
            actionGuard.setSchedule(DrainSchedule.forDrain(Clock.now()));
        }
    }

    @Override
    public void stopDrain() {
        isDrainedAsStale = false;
        if (phase == Phase.DRAINING) {
            Log.write(Event.DRAIN_ENDED);
            phase = Phase.SERVING;
            actionGuard.setSchedule(null);
        }
    }

    @Override
    public Future<Boolean> setAdminDrain(String id, boolean isDrained) {
        if (!dispatcher.isKnownServer(id) && !adminDrains.contains(id)) {
            return loop.newSucceededFuture(false);
        }
        Promise<Boolean> completion = loop.newPromise();
        // The yes comes once it is kept: a new process that starts right behind it must find it.
        sharedDirectory.setAdminDrain(
                id,
                isDrained,
                (drainedIds, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        applyAdminDrains(drainedIds);
                                        completion.setSuccess(true);
                                    } else {
                                        completion.setFailure(failure);
                                    }
                                }));
        return completion;
    }

    /**
     * Stops in order; the future is done when every request has been answered and every client is
     * gone. {@code isReplaced}: another process of this balancer listens, so that new clients need
     * not be waited for; {@code signalledAtNanos}: when it was asked for, from which on the time
     * until a kill runs.
     */
    Future<Void> stop(boolean isReplaced, long signalledAtNanos) {
        shutdownRequestedAtNanos = signalledAtNanos;
        DrainSchedule schedule = DrainSchedule.forShutdown(signalledAtNanos, longestDeadlineNanos);
        Log.write(
                Event.SHUTDOWN_STARTED,
                isReplaced,
                (schedule.acceptUntilNanos() - signalledAtNanos) / Clock.NANOS_PER_MILLISECOND,
                (schedule.answerUntilNanos() - signalledAtNanos) / Clock.NANOS_PER_MILLISECOND);
        phase = Phase.STOPPING;
        actionGuard.setSchedule(schedule);
        dispatcher.capDeadlines(schedule.answerUntilNanos());
        membership.onShutdown(isReplaced);
        Promise<Void> completion = loop.newPromise();
        // What has already been accepted by the system is read first: it would be reset with the
        // socket.
        long listenForNanos =
                isReplaced
                        ? SHUTDOWN_POLL_MILLIS * Clock.NANOS_PER_MILLISECOND
                        : schedule.acceptUntilNanos() - Clock.now();
        loop.schedule(
                () -> {
                    clientListener.stopListening();
                    awaitQuiescence(completion, schedule.exitAtNanos());
                },
                Math.max(0, listenForNanos),
                TimeUnit.NANOSECONDS);
        return completion;
    }

    private void awaitQuiescence(Promise<Void> completion, long deadlineNanos) {
        // By the end every request is answered: only a client that does not read can still be
        // there.
        if (clientListener.connectionCount() == 0 && dispatcher.openRequestCount() == 0
                || Clock.now() >= deadlineNanos) {
            if (dispatcher.openRequestCount() > 0) {
                counters.recordViolation(
                        InvariantViolation.UNANSWERED,
                        "at the end of the process: "
                                + dispatcher.openRequests(MAX_LISTED_REQUESTS));
            }
            logCounters();
            membership.close();
            completion.setSuccess(null);
        } else {
            logProgress();
            loop.schedule(
                    () -> awaitQuiescence(completion, deadlineNanos),
                    SHUTDOWN_POLL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void logProgress() {
        long elapsedNanos = Clock.now() - shutdownRequestedAtNanos;
        if (elapsedNanos >= progressLoggedAtNanos + PROGRESS_INTERVAL_NANOS) {
            progressLoggedAtNanos = elapsedNanos;
            Log.write(
                    Event.SHUTDOWN_PROGRESS,
                    elapsedNanos / Clock.NANOS_PER_MILLISECOND,
                    clientListener.connectionCount(),
                    dispatcher.openRequestCount(),
                    dispatcher.openRequests(MAX_LISTED_REQUESTS));
        }
    }
}
