package frostrelay.node.cluster;

import frostrelay.audit.AuditLog;
import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.Incarnation;
import frostrelay.gossip.MemberSnapshot;
import frostrelay.gossip.PayloadProvider;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.metrics.Counters;
import frostrelay.node.time.Clock;
import frostrelay.staleness.ConfigTransfer;
import frostrelay.staleness.OperatorOverrides;
import frostrelay.staleness.PeerFreshness;
import frostrelay.staleness.StalenessCodec;
import frostrelay.staleness.StalenessDetector;
import frostrelay.staleness.StalenessSettings;
import frostrelay.staleness.VersionKind;

import io.netty.channel.EventLoop;

import java.nio.ByteBuffer;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Connects {@link StalenessDetector} and {@link ConfigTransfer} with gossip and the balancer, and
 * carries out their decisions. Runs on the event loop.
 */
final class StaleInstanceService
        implements StalenessDetector.Actions, StalenessCodec.Listener, ConfigTransfer.Actions {
    private final ClusterOptions options;
    private final WakeupTimer timer;
    private final ClusterMembership.Actions actions;
    private final AuditLog auditLog;
    private final Counters counters;

    private final GossipTransport transport;

    private final StalenessDetector detector;
    private final StalenessCodec codec;
    private final ConfigTransfer configTransfer;

    /** Time for which recovery is announced, in which most peers send a probe. */
    private static final long RECOVERY_NOTICE_NANOS = 10 * Clock.NANOS_PER_SECOND;

    private final Set<VersionKind> reportedFailing = EnumSet.noneOf(VersionKind.class);
    private long recoveryNoticeUntilNanos;

    /** The configuration digest that {@link #encodedSettings} belongs to. */
    private long encodedDigest;

    private byte[] encodedSettings;

    StaleInstanceService(
            ClusterOptions options,
            EventLoop loop,
            ClusterMembership.Actions actions,
            AuditLog auditLog,
            Counters counters,
            GossipTransport transport,
            int rank,
            int clusterSize,
            long seed,
            UnaryOperator<StalenessDetector.Actions> testHook) {
        this.options = options;
        timer = new WakeupTimer(loop, this::onTimer);
        this.actions = actions;
        this.auditLog = auditLog;
        this.counters = counters;
        this.transport = transport;
        detector =
                new StalenessDetector(
                        StalenessSettings.STANDARD,
                        rank,
                        clusterSize,
                        seed,
                        auditLog.appliedVersions(),
                        testHook.apply(this));
        configTransfer = new ConfigTransfer(seed, this);
        codec = new StalenessCodec(this::knowsAdminDrains);
    }

    private boolean knowsAdminDrains(int peer, long digest) {
        AppliedVersions versions =
                transport.node() == null
                        ? null
                        : transport.node().snapshot(Clock.now(), peer).appliedVersions();
        return versions != null && versions.adminDrainsDigest() == digest;
    }

    /** Returns the provider of this service's gossip sections. */
    PayloadProvider payloadProvider() {
        return codec;
    }

    void onVersionsApplied(AppliedVersions versions, Set<Long> readyCaches) {
        detector.onLocalVersions(Clock.now(), versions, readyCaches);
        schedule();
    }

    /** Sets the caches that operators drain here; {@code digest}: as in the applied versions. */
    void onAdminDrains(long digest, Set<Long> caches) {
        detector.onLocalAdminDrains(Clock.now(), caches);
        schedule();
        if (options.sharesAdminDrains()) {
            codec.setAdminDrains(digest, caches);
            sendPending();
        }
    }

    void onPeerUpdated(MemberSnapshot snapshot) {
        detector.onPeerState(
                Clock.now(),
                snapshot.rank(),
                snapshot.state(),
                snapshot.appliedVersions(),
                Incarnation.toUnixMillis(snapshot.incarnation()),
                snapshot.ageNanos());
        schedule();
    }

    void onCacheUnavailable(long now, int from, long revision, long cache) {
        detector.onCacheUnavailable(now, from, revision, cache);
        schedule();
    }

    void onCacheRestored(long now, int from, long revision, long cache) {
        detector.onCacheRestored(now, from, revision, cache);
        schedule();
    }

    void onSection(long now, int sender, int type, ByteBuffer content) {
        StalenessCodec.read(now, sender, type, content, this);
        schedule();
    }

    void onConfigRejected(long configVersion) {
        detector.onConfigRejected(Clock.now(), configVersion);
        schedule();
    }

    void onOverrides(Set<String> overrides) {
        detector.onOverrides(Clock.now(), new OperatorOverrides(overrides));
        schedule();
    }

    /** Runs periodic work; to be called about once a second. */
    void tick(long now, boolean isolated) {
        detector.onIsolation(now, isolated);
        detector.onServiceCounts(
                now, counters.served + counters.rejected() + counters.failed, counters.served);
        if (reportedFailing.isEmpty() && now > recoveryNoticeUntilNanos) {
            for (VersionKind kind : VersionKind.values()) {
                codec.clearVersionFailing(kind);
            }
        }
        schedule();
    }

    @Override
    public void onPeerAdminDrain(long now, int sender, long digest, long cache) {
        if (options.sharesAdminDrains()) {
            detector.onPeerAdminDrain(now, sender, digest, cache);
        }
    }

    @Override
    public void onVersionFailing(
            long now, int sender, VersionKind kind, long number, boolean fails) {
        detector.onVersionFailing(now, sender, kind, number, fails);
    }

    @Override
    public void onPieceRequested(long now, int sender, long digest, int piece) {
        if (!options.transfersConfig() || digest != auditLog.appliedVersions().configDigest()) {
            return;
        }
        if (encodedSettings == null || encodedDigest != digest) {
            encodedSettings = actions.encodeSettings();
            encodedDigest = digest;
        }
        ByteBuffer content = StalenessCodec.encodePiece(digest, piece, encodedSettings);
        if (content != null) {
            transport.sendSection(sender, StalenessCodec.pieceType(), content);
        }
    }

    @Override
    public void onPiece(long now, int sender, long digest, int piece, int count, byte[] content) {
        configTransfer.onPiece(now, sender, digest, piece, count, content);
    }

    private void schedule() {
        timer.schedule(
                Math.min(
                        detector.nextTimerAtNanos(Clock.now()), configTransfer.nextTimerAtNanos()));
    }

    private void onTimer() {
        detector.onTimer(Clock.now());
        configTransfer.onTimer(Clock.now());
        schedule();
    }

    @Override
    public void pollEndpointList() {
        actions.refreshEndpoints();
    }

    @Override
    public void rereadConfig() {
        actions.rereadConfig();
    }

    @Override
    public void fetchConfig(long digest, List<Integer> holders) {
        if (options.transfersConfig()) {
            configTransfer.fetch(Clock.now(), digest, holders);
        }
    }

    @Override
    public void requestPiece(int holder, long digest, int piece) {
        transport.sendSection(
                holder,
                StalenessCodec.pieceRequestType(),
                StalenessCodec.encodePieceRequest(digest, piece));
    }

    @Override
    public boolean applyContent(long digest, byte[] content) {
        return actions.applySettings(digest, content);
    }

    @Override
    public void avoidCaches(Set<Long> caches) {
        Log.write(
                Event.CACHES_AVOIDED,
                caches.size(),
                auditLog.appliedVersions().listRevision(),
                detector.newestListRevision(),
                detector.drainedByPeers().size());
        Set<Long> drainedByPeers = new HashSet<>(detector.drainedByPeers());
        drainedByPeers.retainAll(caches);
        Set<Long> removed = new HashSet<>(caches);
        removed.removeAll(drainedByPeers);
        actions.setAvoidedCaches(removed, drainedByPeers);
    }

    @Override
    public void setSelfDraining(boolean withdrawn, String reason) {
        Log.write(withdrawn ? Event.STALE_DRAIN_STARTED : Event.STALE_DRAIN_ENDED, reason);
        actions.setWithdrawn(withdrawn);
    }

    @Override
    public void announceFailingVersions() {
        List<VersionKind> failing = detector.failingKinds();
        if (!failing.isEmpty()) {
            Log.write(
                    Event.DEGRADATION_REPORTED,
                    failing.toString(),
                    auditLog.appliedVersions().listRevision(),
                    auditLog.appliedVersions().configNumber());
        }
        for (VersionKind kind : VersionKind.values()) {
            boolean isFailing = failing.contains(kind);
            if (isFailing || reportedFailing.contains(kind)) {
                codec.setVersionFailing(kind, kind.number(auditLog.appliedVersions()), isFailing);
                sendPending();
            }
            if (isFailing ? reportedFailing.add(kind) : reportedFailing.remove(kind)) {
                recoveryNoticeUntilNanos = Clock.now() + RECOVERY_NOTICE_NANOS;
            }
        }
    }

    private void sendPending() {
        transport.onPayloadChanged();
    }

    @Override
    public void onVersionNotFollowed(VersionKind kind, long number, String reason) {
        Log.write(Event.VERSION_NOT_FOLLOWED, kind.displayName(), number, reason);
        auditLog.recordRejection(
                Clock.now(), kind.displayName() + ' ' + number + " is not followed: " + reason);
    }

    @Override
    public void notifyOperators(String message) {
        Log.write(Event.STALE_INSTANCE, message);
    }

    void describe(Map<String, Object> target) {
        target.put("standing", label(detector.listStanding()));
        target.put(
                "newestList",
                detector.newestListRevision() == Long.MIN_VALUE
                        ? "unknown"
                        : detector.newestListRevision());
        long behindNanos = detector.behindForNanos(Clock.now());
        target.put("behindMs", behindNanos < 0 ? 0 : behindNanos / Clock.NANOS_PER_MILLISECOND);
        target.put("configStanding", label(detector.configStanding()));
        target.put(
                "newestConfig",
                detector.newestConfigNumber() == Long.MIN_VALUE
                        ? "unknown"
                        : detector.newestConfigNumber());
        target.put("avoids", detector.avoidedCaches().size());
        target.put("heldByOthers", detector.drainedByPeers().size());
        target.put("asked", detector.pollCount());
        target.put("handedOver", configTransfer.acceptedCount());
        target.put("aside", detector.isSelfDraining());
    }

    private static String label(StalenessDetector.Standing standing) {
        return standing.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    boolean isCurrent(int peer) {
        return detector.freshnessOf(Clock.now(), peer) == PeerFreshness.CURRENT;
    }

    /** Returns the freshness of a peer as shown to operators. */
    String freshnessLabel(int peer) {
        return detector.freshnessOf(Clock.now(), peer)
                .name()
                .toLowerCase(Locale.ROOT)
                .replace('_', '-');
    }
}
