package frostrelay.node.cluster;

import frostrelay.audit.AuditLog;
import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.GossipNode;
import frostrelay.gossip.GossipSettings;
import frostrelay.gossip.Incarnation;
import frostrelay.gossip.MemberState;
import frostrelay.gossip.PayloadBuffer;
import frostrelay.healthreports.AttemptObservation;
import frostrelay.node.config.Config;
import frostrelay.node.config.EndpointList;
import frostrelay.node.config.Json;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.Counters;
import frostrelay.node.proxy.DecisionObserver;
import frostrelay.node.time.Clock;

import io.netty.channel.EventLoop;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A balancer with gossip, auditing or both: forwards events between the gossip node, the audit log
 * and the services that share state. Runs on the event loop.
 */
final class ClusterMember extends ClusterMembership
        implements GossipNode.Listener, AppliedVersionTracker.Listener {
    private static final long TICK_NANOS = Clock.NANOS_PER_SECOND;

    /** A section type that no build uses so far. */
    private static final int FUTURE_SECTION_TYPE = 250;

    private final ClusterOptions options;
    private final TestHooks testHooks;
    private final Config config;
    private final Counters counters;
    private final long startNanos;
    private final long incarnation;
    private final int rank;
    private final AuditStorage auditStorage;
    private final AuditLog auditLog;
    private final AppliedVersionTracker versionTracker;
    private final GossipTransport transport;
    private final StateSharingServices services;
    private final ClusterStatus status;
    private final int clusterSize;
    private boolean serving;
    private long nextTickNanos;

    ClusterMember(
            Config config,
            ClusterOptions options,
            TestHooks testHooks,
            EventLoop loop,
            Counters counters,
            Actions actions) {
        this.config = config;
        this.options = options;
        this.testHooks = testHooks;
        this.counters = counters;
        // Both clocks are read together: class loading between the two reads would shift all times
        // of the audit record.
        startNanos = Clock.now();
        long startUnixMillis = testHooks.wallClock().getAsLong();
        incarnation = Incarnation.fromUnixMillis(startUnixMillis);
        List<InetSocketAddress> addresses =
                options.gossipEnabled() ? PeerAddresses.of(config) : List.of();
        rank = config.settings().policySettings.instanceIndex();
        clusterSize = addresses.size();
        auditStorage = new AuditStorage(options, incarnation);
        AppliedVersions initialVersions =
                AppliedVersionTracker.initialVersions(config, buildDigest(testHooks));
        auditLog =
                new AuditLog(
                        testHooks.recorder().apply(auditStorage),
                        options.recordsEachSend(),
                        startNanos,
                        startUnixMillis,
                        config.name(),
                        rank,
                        incarnation,
                        initialVersions);
        transport =
                addresses.isEmpty()
                        ? null
                        : new GossipTransport(
                                loop,
                                EndpointList.parseAddress(
                                        Json.get(config.json(), "peer_listen", String.class)),
                                addresses,
                                this::createGossipNode);
        services =
                transport == null
                        ? StateSharingServices.none()
                        : new StateSharingServices(
                                options,
                                testHooks,
                                loop,
                                counters,
                                actions,
                                auditLog,
                                transport,
                                new StateSharingServices.Identity(
                                        rank, clusterSize, incarnation, config.seed()));
        versionTracker = new AppliedVersionTracker(auditLog, testHooks.wallClock(), this);
        status = new ClusterStatus(config.name(), rank, startNanos, auditLog, transport, services);
    }

    private static int buildDigest(TestHooks testHooks) {
        return testHooks.buildNumber() != 0
                ? testHooks.buildNumber()
                : BuildDigest.ofRunningProgram();
    }

    private GossipNode createGossipNode(GossipNode.Actions actions) {
        Log.write(
                Event.GOSSIP_STARTED,
                config.json().get("peer_listen"),
                rank,
                clusterSize,
                options.maxBytesPerSecond());
        GossipSettings settings =
                GossipSettings.STANDARD
                        .withMaxBytesPerSecond(options.maxBytesPerSecond())
                        .withWireVersion(testHooks.datagramFormat());
        GossipNode node =
                new GossipNode(
                        settings,
                        rank,
                        clusterSize,
                        startNanos,
                        incarnation,
                        config.seed() ^ Clock.now(),
                        auditLog.appliedVersions(),
                        auditLog.sequence(),
                        actions,
                        this);
        node.setPayloadProvider(this::addSections);
        node.announcePayloadChange(Clock.now());
        return node;
    }

    private void addSections(long now, int to, PayloadBuffer buffer) {
        services.writeSections(now, to, buffer);
        if (testHooks.datagramFormat() > GossipSettings.STANDARD.wireVersion()) {
            // For tests: simulates a section of a later build that this one does not know.
            buffer.add(FUTURE_SECTION_TYPE, ByteBuffer.wrap(new byte[] {1, 2, 3}));
        }
    }

    @Override
    public void onVersionsApplied(AppliedVersions versions) {
        if (transport != null && transport.node() != null) {
            transport.node().updateAppliedVersions(Clock.now(), versions, auditLog.sequence());
            transport.schedule();
        }
        if (services.detectsStaleness()) {
            services.staleInstances().onVersionsApplied(versions, versionTracker.readyCaches());
        }
    }

    @Override
    public void onReadyCaches(Map<Long, Long> ready, Map<Long, String> names) {
        services.onReadyCaches(ready, names);
    }

    @Override
    public void onAttemptObserved(long cache, AttemptObservation observation, long sentAtNanos) {
        services.onAttemptObserved(cache, observation, sentAtNanos);
    }

    @Override
    public DecisionObserver trafficObserver() {
        return services.trafficObserver();
    }

    @Override
    public void onAdminDrains(long digest, Set<Long> caches) {
        if (services.detectsStaleness()) {
            services.staleInstances().onAdminDrains(digest, caches);
        }
    }

    @Override
    public void onCacheReadiness(long revision, long cache, boolean ready) {
        if (!services.detectsStaleness() || transport.node() == null) {
            return;
        }
        transport.node().announceCacheState(Clock.now(), revision, cache, ready);
        transport.schedule();
    }

    /** Passes a peer's state, which may have changed, to staleness detection. */
    private void onPeerUpdated(int peerRank) {
        // While the gossip node is being created it cannot be queried yet.
        if (services.detectsStaleness() && transport.node() != null && peerRank != rank) {
            services.staleInstances()
                    .onPeerUpdated(transport.node().snapshot(Clock.now(), peerRank));
        }
    }

    @Override
    public DecisionObserver observer() {
        return versionTracker;
    }

    @Override
    public void onServing() {
        serving = true;
        setGossipActive(true);
    }

    @Override
    public void setGossipActive(boolean active) {
        if (transport == null) {
            return;
        }
        if (active && serving) {
            transport.open();
        } else if (!active) {
            // Another process continues as this balancer, so its departure is not announced.
            transport.close(false);
        }
    }

    @Override
    public void onShutdown(boolean replaced) {
        serving = false;
        if (transport != null) {
            transport.close(!replaced);
        }
    }

    @Override
    public void tick() {
        long now = Clock.now();
        if (now >= nextTickNanos) {
            // Called four times a second: an interval that started at the current time would last
            // up to 1.25 s.
            nextTickNanos = Math.max(nextTickNanos + TICK_NANOS, now + TICK_NANOS / 2);
            auditLog.tick(now, testHooks.wallClock().getAsLong());
            services.tick(now);
        }
    }

    @Override
    public boolean detectsStaleness() {
        return services.detectsStaleness();
    }

    @Override
    public void setOverrides(Set<String> overrides) {
        if (services.detectsStaleness()) {
            services.staleInstances().onOverrides(overrides);
        }
    }

    @Override
    public void onConfigRejected(long configVersion) {
        if (services.detectsStaleness()) {
            services.staleInstances().onConfigRejected(configVersion);
        }
    }

    @Override
    public byte[] auditRecord() {
        return auditStorage.record();
    }

    @Override
    public void close() {
        auditLog.recordStop(Clock.now());
        auditStorage.close();
    }

    @Override
    public byte[] statusJson() {
        return status.toJson(
                incarnation, testHooks.wallClock().getAsLong(), auditStorage.describe());
    }

    @Override
    public void onMemberState(
            long now, int peerRank, long peerIncarnation, MemberState state, int reportedBy) {
        auditLog.onMemberState(now, peerRank, peerIncarnation, state, reportedBy);
        if (counters.mayLogPeerState()) {
            Log.write(
                    Event.PEER_STATE, peerRank, state.name().toLowerCase(Locale.ROOT), reportedBy);
        }
        onPeerUpdated(peerRank);
    }

    @Override
    public void onCacheUnavailable(long now, int from, long revision, long cache) {
        if (services.detectsStaleness()) {
            services.staleInstances().onCacheUnavailable(now, from, revision, cache);
        }
    }

    @Override
    public void onCacheRestored(long now, int from, long revision, long cache) {
        if (services.detectsStaleness()) {
            services.staleInstances().onCacheRestored(now, from, revision, cache);
        }
    }

    @Override
    public void onPayload(
            long now,
            long delayNanos,
            int sender,
            long senderIncarnation,
            int type,
            ByteBuffer content) {
        services.onSection(now, delayNanos, sender, senderIncarnation, type, content);
    }

    @Override
    public void onLocalIncarnation(long now, long newIncarnation) {
        auditLog.onLocalIncarnation(now, newIncarnation);
        services.onIncarnationChange(newIncarnation);
    }

    @Override
    public void onMemberEntry(
            long now,
            int peerRank,
            long peerIncarnation,
            int sequence,
            int versionsRef,
            long ageNanos) {
        auditLog.onMemberEntry(now, peerRank, peerIncarnation, sequence, versionsRef, ageNanos);
        onPeerUpdated(peerRank);
    }

    @Override
    public void onAppliedVersions(long now, int versionsRef, AppliedVersions versions) {
        // Not recorded: the balancer that acts on the versions records them. Peers may have
        // referred to them before their content was received.
        for (int i = 0;
                services.detectsStaleness() && transport.node() != null && i < clusterSize;
                i++) {
            onPeerUpdated(i);
        }
    }

    @Override
    public void onClockSample(
            long now, int peerRank, long peerIncarnation, long sentAtNanos, long peerUnixMillis) {
        auditLog.onClockSample(now, peerRank, peerIncarnation, sentAtNanos, peerUnixMillis);
    }
}
