package frostrelay.node.cluster;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.audit.AuditLog;
import frostrelay.audit.EntryRingBuffer;
import frostrelay.audit.Recorder;
import frostrelay.audit.store.RecordFolder;
import frostrelay.gossip.AppliedVersions;
import frostrelay.gossip.GossipNode;
import frostrelay.gossip.GossipSettings;
import frostrelay.gossip.Incarnation;
import frostrelay.gossip.MemberSnapshot;
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

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * This balancer's part in its tier: its talk with the others and its account of itself. Both may be
 * off.
 */
public class ClusterMembership {
    private static final ClusterMembership STANDALONE = new ClusterMembership();
    private static final long TICK_NANOS = Clock.NANOS_PER_SECOND;
    private static final int MAX_PEERS = 4096;
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /** A section of no build so far. */
    private static final int FUTURE_SECTION_TYPE = 250;

    /** What the fleet may lead this balancer to. */
    public interface Actions {
        /** Discovery is asked anew. */
        void refreshEndpoints();

        /** The configuration's file is read again. */
        void rereadConfig();

        /**
         * Exactly these caches are avoided on others' word: by their lists, and as their operators
         * hold them.
         */
        void setAvoidedCaches(Set<Long> caches, Set<Long> drainedByPeers);

        /** It steps aside, or comes back. */
        void setWithdrawn(boolean withdrawn);

        /** Exactly these caches are found bad by others, as far as that is to be gone by. */
        void setOutliers(Set<Long> outliers);

        /** What is shared of the configuration that holds, as it can be handed to another. */
        byte[] encodeSettings();

        /** Likewise from another: true if it has that digest and holds from now on. */
        boolean applySettings(long digest, byte[] packed);
    }

    /** What the options and the platform allow; both have to. */
    public static ClusterMembership of(
            Config config,
            ClusterOptions options,
            TestHooks testHooks,
            EventLoop loop,
            Counters counters,
            Actions actions) {
        if (!options.gossipEnabled() && !options.auditEnabled()) {
            return STANDALONE;
        }
        return new Member(config, options, testHooks, loop, counters, actions);
    }

    public DecisionObserver observer() {
        return DecisionObserver.NONE;
    }

    /** The process serves from now on. */
    public void onServing() {}

    /** Whether this process talks for its balancer. */
    public void setGossipActive(boolean active) {}

    /** The process begins to end; {@code replaced}: another goes on under its name. */
    public void onShutdown(boolean replaced) {}

    /** To be called a few times a second. */
    public void tick() {}

    /** What is known, as JSON; null where nothing is kept. */
    public byte[] statusJson() {
        return null;
    }

    /** The record so far; null where none is kept. */
    public byte[] auditRecord() {
        return null;
    }

    /** Whether it minds how it stands to the others, so that operators may decide in its place. */
    public boolean detectsStaleness() {
        return false;
    }

    /** What operators decided, as {@link frostrelay.staleness.Overrides} has it. */
    public void setOverrides(Set<String> overrides) {}

    /** A configuration with that number was read and cannot be used. */
    public void onConfigRejected(long configVersion) {}

    /** The process ends in order. */
    public void close() {}

    private static final class Member extends ClusterMembership
            implements GossipNode.Listener, AppliedVersionTracker.Listener {
        private final ClusterOptions options;
        private final TestHooks testHooks;
        private final Config config;
        private final Counters counters;
        private final long startNanos;
        private final long incarnation;
        private final int rank;
        private final EntryRingBuffer ringBuffer;
        private final RecordFolder recordFolder;
        private final AuditLog auditLog;
        private final AppliedVersionTracker versionTracker;
        private final GossipTransport transport;

        /** Null where it does not care, or has no peers. */
        private final StaleInstanceService staleInstances;

        /** Likewise. */
        private final HealthReportService healthReports;

        private final ClusterCounterService clusterCounters;
        private final int clusterSize;
        private boolean serving;
        private long nextTickNanos;
        private volatile String recordFailure;

        Member(
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
            // Both clocks at one moment: what is loaded between them would put the whole record in
            // a wrong place.
            startNanos = Clock.now();
            long startUnixMillis = testHooks.wallClock().getAsLong();
            incarnation = Incarnation.fromUnixMillis(startUnixMillis);
            List<InetSocketAddress> addresses =
                    options.gossipEnabled() ? addresses(config) : List.of();
            rank = config.settings().policySettings.instanceIndex();
            clusterSize = addresses.size();
            ringBuffer = new EntryRingBuffer(options.ringBytes());
            recordFolder =
                    options.auditEnabled() && options.recordFolder() != null
                            ? openRecordFolder()
                            : null;
            Recorder recorder =
                    !options.auditEnabled()
                            ? entry -> {}
                            : entry -> {
                                ringBuffer.append(entry);
                                if (recordFolder != null) {
                                    recordFolder.append(entry);
                                }
                            };
            AppliedVersions initialVersions =
                    AppliedVersionTracker.initialVersions(config, buildNumber());
            auditLog =
                    new AuditLog(
                            testHooks.recorder().apply(recorder),
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
            staleInstances =
                    transport == null || !options.stalenessDetection()
                            ? null
                            : new StaleInstanceService(
                                    options,
                                    loop,
                                    actions,
                                    auditLog,
                                    counters,
                                    transport,
                                    rank,
                                    clusterSize,
                                    config.seed() ^ incarnation,
                                    testHooks.stalenessActions());
            healthReports =
                    transport == null || !options.sharesHealthReports()
                            ? null
                            : new HealthReportService(
                                    loop,
                                    actions,
                                    counters,
                                    transport,
                                    this::counts,
                                    rank,
                                    clusterSize,
                                    incarnation,
                                    testHooks.healthReportActions());
            clusterCounters =
                    transport == null || !options.sharesCounters()
                            ? null
                            : new ClusterCounterService(
                                    transport,
                                    rank,
                                    clusterSize,
                                    incarnation,
                                    testHooks.counterTotals());
            versionTracker = new AppliedVersionTracker(auditLog, testHooks.wallClock(), this);
        }

        /** Those of all balancers; none where the platform gives none, or does not allow it. */
        private static List<InetSocketAddress> addresses(Config config) {
            Map<?, ?> ceilings =
                    Json.get(
                            Json.get(config.json(), "settings", Map.class),
                            "ceilings",
                            Map.class,
                            Map.of());
            String reason = null;
            List<InetSocketAddress> addresses = new ArrayList<>();
            if (!"true".equals(String.valueOf(ceilings.get("peer-messages")))) {
                reason = "'ceilings.peer-messages' does not allow it";
            } else if (Json.get(config.json(), "peer_listen", String.class, null) == null) {
                reason = "'peer_listen' is missing";
            } else {
                for (Object peer : Json.list(config.json(), "peers")) {
                    addresses.add(EndpointList.parseAddress(String.valueOf(peer)));
                }
                int rank = config.settings().policySettings.instanceIndex();
                if (rank >= addresses.size()
                        || addresses.size() < 2
                        || addresses.size() > MAX_PEERS) {
                    reason = "number " + rank + " of " + addresses.size() + " peers";
                }
            }
            if (reason != null) {
                Log.write(Event.GOSSIP_DISABLED, reason);
                return List.of();
            }
            return addresses;
        }

        private RecordFolder openRecordFolder() {
            String temporaryFolder = System.getenv("TMPDIR");
            Path path =
                    Path.of(
                                    temporaryFolder == null || temporaryFolder.isEmpty()
                                            ? System.getProperty("java.io.tmpdir")
                                            : temporaryFolder)
                            .resolve(options.recordFolder());
            return new RecordFolder(
                    path,
                    String.format(Locale.ROOT, "%016x", incarnation),
                    options.maxFolderBytes(),
                    reason -> {
                        recordFailure = reason;
                        Log.write(Event.AUDIT_GAP, reason);
                    });
        }

        /** A digest of the program's own bytes, so that two builds of one version differ. */
        private int buildNumber() {
            if (testHooks.buildNumber() != 0) {
                return testHooks.buildNumber();
            }
            CRC32 crc = new CRC32();
            try {
                Path source =
                        Path.of(
                                ClusterMembership.class
                                        .getProtectionDomain()
                                        .getCodeSource()
                                        .getLocation()
                                        .toURI());
                if (Files.isRegularFile(source)) {
                    // Piece by piece: the whole of it would stay in the heap's memory for good.
                    try (InputStream in = Files.newInputStream(source)) {
                        byte[] buffer = new byte[READ_BUFFER_BYTES];
                        for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                            crc.update(buffer, 0, length);
                        }
                    }
                } else {
                    crc.update(source.toString().getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException | URISyntaxException | RuntimeException e) {
                return 0;
            }
            return (int) crc.getValue();
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
            if (staleInstances != null) {
                staleInstances.payloadProvider().writeSections(now, to, buffer);
            }
            if (healthReports != null) {
                healthReports.payloadProvider().writeSections(now, to, buffer);
            }
            if (clusterCounters != null) {
                clusterCounters.payloadProvider().writeSections(now, to, buffer);
            }
            if (testHooks.datagramFormat() > GossipSettings.STANDARD.wireVersion()) {
                // A build to come says something that this one does not know.
                buffer.add(FUTURE_SECTION_TYPE, ByteBuffer.wrap(new byte[] {1, 2, 3}));
            }
        }

        @Override
        public void onVersionsApplied(AppliedVersions versions) {
            if (transport != null && transport.node() != null) {
                transport.node().updateAppliedVersions(Clock.now(), versions, auditLog.sequence());
                transport.schedule();
            }
            if (staleInstances != null) {
                staleInstances.onVersionsApplied(versions, versionTracker.readyCaches());
            }
        }

        /**
         * Whether another's word on shared state counts: it is heard, and acts on no old list as
         * far as that is minded.
         */
        private boolean counts(long now, int peerRank) {
            return transport.node() != null
                    && transport.node().snapshot(now, peerRank).state() == MemberState.ALIVE
                    && (staleInstances == null || staleInstances.isCurrent(peerRank));
        }

        @Override
        public void onReadyCaches(Map<Long, Long> ready, Map<Long, String> names) {
            if (healthReports != null) {
                healthReports.onReadyCaches(ready, names);
            }
        }

        @Override
        public void onAttemptObserved(
                long cache, AttemptObservation observation, long sentAtNanos) {
            if (healthReports != null) {
                healthReports.onAttemptObserved(cache, observation, sentAtNanos);
            }
        }

        @Override
        public DecisionObserver trafficObserver() {
            return clusterCounters == null ? DecisionObserver.NONE : clusterCounters;
        }

        @Override
        public void onAdminDrains(long digest, Set<Long> caches) {
            if (staleInstances != null) {
                staleInstances.onAdminDrains(digest, caches);
            }
        }

        @Override
        public void onCacheReadiness(long revision, long cache, boolean ready) {
            if (staleInstances == null || transport.node() == null) {
                return;
            }
            transport.node().announceCacheState(Clock.now(), revision, cache, ready);
            transport.schedule();
        }

        /** What is known of a peer may have changed. */
        private void onPeerUpdated(int peerRank) {
            // Within the talk's own first words there is nothing to ask yet.
            if (staleInstances != null && transport.node() != null && peerRank != rank) {
                staleInstances.onPeerUpdated(transport.node().snapshot(Clock.now(), peerRank));
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
                // Another process goes on under this name: nobody is to hear that it ends.
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
                // Looks come four times a second: without this a second would be one and a quarter.
                nextTickNanos = Math.max(nextTickNanos + TICK_NANOS, now + TICK_NANOS / 2);
                auditLog.tick(now, testHooks.wallClock().getAsLong());
                if (staleInstances != null && transport.node() != null) {
                    staleInstances.tick(now, transport.node().isIsolated(now));
                }
                if (healthReports != null && transport.node() != null) {
                    healthReports.tick(now, transport.node().isIsolated(now));
                }
                if (clusterCounters != null) {
                    clusterCounters.tick(now);
                }
            }
        }

        @Override
        public boolean detectsStaleness() {
            return staleInstances != null;
        }

        @Override
        public void setOverrides(Set<String> overrides) {
            if (staleInstances != null) {
                staleInstances.onOverrides(overrides);
            }
        }

        @Override
        public void onConfigRejected(long configVersion) {
            if (staleInstances != null) {
                staleInstances.onConfigRejected(configVersion);
            }
        }

        @Override
        public byte[] auditRecord() {
            return options.auditEnabled() ? ringBuffer.record() : null;
        }

        @Override
        public void close() {
            auditLog.recordStop(Clock.now());
            if (recordFolder != null) {
                recordFolder.close();
            }
        }

        @Override
        public byte[] statusJson() {
            long now = Clock.now();
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("balancer", config.name());
            fields.put("number", rank);
            GossipNode node = transport == null ? null : transport.node();
            fields.put("incarnation", node == null ? incarnation : node.incarnation());
            fields.put("livedMs", (now - startNanos) / Clock.NANOS_PER_MILLISECOND);
            fields.put("wallMs", testHooks.wallClock().getAsLong());
            fields.put("actsOn", describeVersions(auditLog.appliedVersions()));
            fields.put("stamps", auditLog.sequence());
            fields.put("sinceMs", (now - auditLog.appliedAtNanos()) / Clock.NANOS_PER_MILLISECOND);
            fields.put("why", auditLog.cause().name().toLowerCase(Locale.ROOT));
            fields.put(
                    "record",
                    recordFolder == null
                            ? "memory"
                            : recordFailure == null
                                    ? "folder"
                                    : "folder, lacking: " + recordFailure);
            if (staleInstances != null) {
                staleInstances.describe(fields);
            }
            if (healthReports != null) {
                fields.put("judgements", healthReports.describe());
            }
            if (clusterCounters != null) {
                clusterCounters.describe(fields);
            }
            fields.put("peers", node == null ? "silent" : describePeers(node, now));
            if (node != null) {
                fields.put("datagrams", counts(node));
            }
            try {
                return JSON.std.asBytes(fields);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private Map<String, Object> counts(GossipNode peers) {
            GossipNode.Counters counts = peers.counters();
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("sent", counts.sent);
            fields.put("sentBytes", counts.sentBytes);
            fields.put("received", counts.received);
            fields.put("damaged", counts.damaged);
            fields.put("foreign", counts.foreign + transport.foreignDatagrams());
            fields.put("oversized", counts.oversized);
            fields.put("newer", counts.unsupportedVersion);
            fields.put("wrongSender", counts.wrongSender);
            fields.put("implausible", counts.implausible);
            fields.put("overCeiling", counts.rateLimited);
            fields.put("suspicions", counts.suspicions);
            fields.put("objections", counts.refutations);
            fields.put("pauses", counts.pauses);
            return fields;
        }

        private List<Object> describePeers(GossipNode node, long now) {
            List<Object> rows = new ArrayList<>();
            for (int i = 0; i < node.memberCount(); i++) {
                if (i == rank) {
                    continue;
                }
                MemberSnapshot known = node.snapshot(now, i);
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("number", i);
                row.put("state", known.state().name().toLowerCase(Locale.ROOT));
                row.put("incarnation", known.incarnation());
                row.put("stamps", known.sequence());
                // What was last known is told with its age; that it still holds is only said of
                // those that are alive.
                row.put(
                        "actsOn",
                        known.appliedVersions() == null || known.state() != MemberState.ALIVE
                                ? "unknown"
                                : describeVersions(known.appliedVersions()));
                if (known.appliedVersions() != null && known.state() != MemberState.ALIVE) {
                    row.put("lastKnown", describeVersions(known.appliedVersions()));
                }
                if (staleInstances != null) {
                    row.put("heeded", staleInstances.freshnessLabel(i));
                }
                row.put(
                        "ageMs",
                        known.ageNanos() < 0 ? -1 : known.ageNanos() / Clock.NANOS_PER_MILLISECOND);
                rows.add(row);
            }
            return rows;
        }

        private static Map<String, Object> describeVersions(AppliedVersions versions) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("build", String.format(Locale.ROOT, "%08x", versions.buildDigest()));
            fields.put("config", versions.configNumber());
            fields.put(
                    "configDigest", String.format(Locale.ROOT, "%016x", versions.configDigest()));
            fields.put("list", versions.listRevision());
            fields.put("listDigest", String.format(Locale.ROOT, "%016x", versions.listDigest()));
            fields.put("holds", String.format(Locale.ROOT, "%016x", versions.adminDrainsDigest()));
            return fields;
        }

        @Override
        public void onMemberState(
                long now, int peerRank, long peerIncarnation, MemberState state, int reportedBy) {
            auditLog.onMemberState(now, peerRank, peerIncarnation, state, reportedBy);
            if (counters.mayLogPeerState()) {
                Log.write(
                        Event.PEER_STATE,
                        peerRank,
                        state.name().toLowerCase(Locale.ROOT),
                        reportedBy);
            }
            onPeerUpdated(peerRank);
        }

        @Override
        public void onCacheUnavailable(long now, int from, long revision, long cache) {
            if (staleInstances != null) {
                staleInstances.onAway(now, from, revision, cache);
            }
        }

        @Override
        public void onCacheRestored(long now, int from, long revision, long cache) {
            if (staleInstances != null) {
                staleInstances.onBack(now, from, revision, cache);
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
            if (staleInstances != null) {
                staleInstances.onSection(now, sender, type, content);
            }
            if (healthReports != null) {
                healthReports.onSection(now, delayNanos, sender, senderIncarnation, type, content);
            }
            if (clusterCounters != null) {
                clusterCounters.onSection(
                        now, delayNanos, sender, senderIncarnation, type, content);
            }
        }

        @Override
        public void onLocalIncarnation(long now, long newIncarnation) {
            auditLog.onLocalIncarnation(now, newIncarnation);
            if (healthReports != null) {
                healthReports.onIncarnationChange(newIncarnation);
            }
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
            // The record of who acts on it has it. Peers that were heard of before their stamp's
            // content was:
            for (int i = 0;
                    staleInstances != null && transport.node() != null && i < clusterSize;
                    i++) {
                onPeerUpdated(i);
            }
        }

        @Override
        public void onClockSample(
                long now,
                int peerRank,
                long peerIncarnation,
                long sentAtNanos,
                long peerUnixMillis) {
            auditLog.onClockSample(now, peerRank, peerIncarnation, sentAtNanos, peerUnixMillis);
        }
    }
}
