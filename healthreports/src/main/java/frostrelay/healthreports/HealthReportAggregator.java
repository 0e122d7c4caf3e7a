package frostrelay.healthreports;

import frostrelay.gossip.PayloadBuffer;
import frostrelay.gossip.PayloadProvider;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Merges health reports of this balancer and its peers, sends them on, and keeps the set of
 * outliers. Peers' reports are advisory: they eject a cache from ordinary selection, never close
 * its connections, and fresh answers to this balancer outweigh them.
 *
 * <p>Driven by events alone and not thread-safe; moments are nanoseconds of one monotonic clock.
 * {@code docs/design/shared-state.md} has the alternatives considered.
 */
public final class HealthReportAggregator implements PayloadProvider {
    /** Effects of health reports on the balancer. */
    public interface Actions {
        /** Replaces the set of outliers. */
        void setOutliers(Set<Long> outliers);

        /** Called when reports were queued that may be sent to any peer soon. */
        void onReportsPending();

        /** Sends one section to one peer; returns false if over the gossip bandwidth limit. */
        boolean sendSection(int to, int type, ByteBuffer section);

        /** Called when this balancer's own attempts show that a cache has become unhealthy. */
        void onLocallyUnhealthy(long cache);
    }

    /** Decides whose reports count. */
    public interface Trust {
        /** Returns whether a peer is alive at this moment and acts on a current endpoint list. */
        boolean isTrusted(long now, int rank);
    }

    /** Gossip section with the sender's own reports. */
    private static final int DIRECT_SECTION = 32;

    /** Gossip section with reports that the sender relays. */
    private static final int RELAYED_SECTION = 33;

    /** The longest section that is written. */
    private static final int MAX_SECTION_BYTES = 180;

    private static final int MAX_CACHES = 4_096;

    private static final long NEVER = Long.MAX_VALUE;

    private final HealthReportSettings settings;
    private final int localRank;
    private final int clusterSize;
    private final ReportQueue reportQueue;
    private final OutlierEvaluator evaluator;
    private final Actions actions;
    private long incarnation;

    /** The ready caches of this balancer's endpoint list, and their start times. */
    private Map<Long, Integer> readyCaches = Map.of();

    private final Map<Long, LocalHealthStats> localStats = new HashMap<>();
    private final Map<Long, PeerReports> peerReports = new HashMap<>();
    private Set<Long> outliers = Set.of();
    private boolean isolated;
    private long evaluateAtNanos;

    /** Time of the next direct send of pending reports to all peers; small clusters only. */
    private long sendAtNanos = NEVER;

    private long writtenCount;
    private long mergedCount;
    private long rejectedCount;

    /**
     * Creates an aggregator that knows no caches yet.
     *
     * @param localRank this balancer's number, from 0 to {@code clusterSize} - 1
     * @param incarnation this balancer's incarnation
     * @param trust whose reports count
     */
    public HealthReportAggregator(
            HealthReportSettings settings,
            int localRank,
            int clusterSize,
            long incarnation,
            Trust trust,
            Actions actions) {
        this.settings = settings;
        this.localRank = localRank;
        this.clusterSize = clusterSize;
        this.incarnation = incarnation;
        this.actions = actions;
        reportQueue = new ReportQueue(settings, localRank, clusterSize);
        evaluator =
                new OutlierEvaluator(settings, clusterSize, reportQueue.isSmallCluster(), trust);
    }

    /**
     * Applies a new endpoint list and drops local statistics of caches that were removed or
     * restarted.
     *
     * @param caches the ready ones, with their start times in Unix milliseconds
     */
    public void onEndpointList(long now, Map<Long, Long> caches) {
        Map<Long, Integer> updated = new HashMap<>();
        caches.forEach((cache, serverStart) -> updated.put(cache, (int) (long) serverStart));
        localStats.keySet().removeIf(cache -> wasRemovedOrRestarted(cache, updated));
        readyCaches = updated;
        evaluate(now);
    }

    private boolean wasRemovedOrRestarted(long cache, Map<Long, Integer> updated) {
        Integer previousStart = readyCaches.get(cache);
        Integer start = updated.get(cache);
        return start == null || previousStart != null && !previousStart.equals(start);
    }

    /** Sets the incarnation that further reports of this balancer carry. */
    public void onIncarnationChange(long newIncarnation) {
        incarnation = newIncarnation;
    }

    /** Sets whether this balancer receives from no peer at all; if so it has no outliers. */
    public void onIsolation(long now, boolean isolatedNow) {
        isolated = isolatedNow;
        evaluate(now);
    }

    /**
     * Records the observation of an attempt of this balancer that was sent at {@code sentAtNanos};
     * caches that are not ready are ignored.
     */
    public void onAttemptObserved(
            long now, long cache, AttemptObservation observation, long sentAtNanos) {
        Integer serverStart = readyCaches.get(cache);
        if (serverStart == null) {
            return;
        }
        LocalHealthStats stats = localStats.computeIfAbsent(cache, id -> new LocalHealthStats());
        stats.recordAttempt(now, observation, sentAtNanos, settings.halfLifeNanos());
        reportIfChanged(now, cache, stats, serverStart);
        if (outliers.contains(cache) || observation != AttemptObservation.ANSWERED) {
            evaluate(now);
        }
    }

    /**
     * Writes a report when the cache has become unhealthy, again while it stays so, and at once
     * when it has recovered.
     */
    private void reportIfChanged(long now, long cache, LocalHealthStats stats, int serverStart) {
        boolean isUnhealthy = stats.isUnhealthy(now, settings);
        boolean wasUnhealthy = stats.lastReport != null && stats.lastReport.isUnhealthy();
        boolean recovered = wasUnhealthy && !isUnhealthy;
        boolean worsened =
                isUnhealthy
                        && !wasUnhealthy
                        && now - stats.lastReportNanos >= settings.minReportIntervalNanos();
        boolean renewalDue =
                isUnhealthy
                        && wasUnhealthy
                        && now - stats.lastReportNanos >= settings.renewalIntervalNanos();
        if (recovered || worsened || renewalDue) {
            boolean shouldSend =
                    recovered
                            || directReporterCount(now, cache, serverStart)
                                    < settings.sufficientReporters();
            stats.writeReport(
                    now,
                    localRank,
                    incarnation,
                    serverStart,
                    isUnhealthy,
                    settings.halfLifeNanos());
            if (worsened) {
                actions.onLocallyUnhealthy(cache);
            }
            if (shouldSend) {
                writtenCount++;
                enqueue(now, cache, stats.lastReport, now);
            }
        }
    }

    private void enqueue(long now, long cache, HealthReport report, long writtenAtNanos) {
        reportQueue.add(cache, report, writtenAtNanos);
        if (reportQueue.isSmallCluster()) {
            sendAtNanos = Math.min(sendAtNanos, now + settings.batchDelayNanos());
        } else {
            actions.onReportsPending();
        }
    }

    /**
     * Merges a received gossip section; sections of other modules are ignored. Relayed reports are
     * kept apart from the sender's own.
     *
     * @param delayNanos time for which the datagram was delayed on its way
     * @param sender rank of the sending peer
     * @param type section type
     */
    public void onSection(
            long now,
            long delayNanos,
            int sender,
            long senderIncarnation,
            int type,
            ByteBuffer in) {
        boolean relayed = type == RELAYED_SECTION;
        if (type != DIRECT_SECTION && !relayed || sender == localRank || sender >= clusterSize) {
            return;
        }
        int reportBytes = relayed ? HealthReport.RELAYED_BYTES : HealthReport.BYTES;
        while (in.remaining() >= reportBytes) {
            HealthReport.DecodedReport decoded =
                    HealthReport.read(in, sender, senderIncarnation, relayed);
            if (isAcceptable(decoded, delayNanos, sender, relayed)) {
                long writtenAtNanos = now - delayNanos - decoded.ageNanos();
                merge(now, decoded.cache(), decoded.report(), writtenAtNanos, sender, relayed);
            } else {
                rejectedCount++;
            }
        }
        evaluate(now);
    }

    private boolean isAcceptable(
            HealthReport.DecodedReport decoded, long delayNanos, int sender, boolean relayed) {
        HealthReport report = decoded.report();
        if (report.rank() == localRank || relayed && !isRelayable(report, sender)) {
            return false;
        }
        boolean expired = decoded.ageNanos() + delayNanos >= settings.expiryNanos();
        boolean full =
                peerReports.size() >= MAX_CACHES && !peerReports.containsKey(decoded.cache());
        return !expired && !full;
    }

    /** Returns whether a report may be relayed: only unhealthy ones of a third balancer are. */
    private boolean isRelayable(HealthReport report, int sender) {
        return report.rank() != sender && report.rank() < clusterSize && report.isUnhealthy();
    }

    private void merge(
            long now,
            long cache,
            HealthReport report,
            long writtenAtNanos,
            int sender,
            boolean relayed) {
        PeerReports cacheReports = peerReports.computeIfAbsent(cache, id -> new PeerReports());
        if (relayed) {
            mergedCount += cacheReports.addRelayed(sender, report, writtenAtNanos) ? 1 : 0;
            return;
        }
        if (!cacheReports.addDirect(report, writtenAtNanos)) {
            return;
        }
        mergedCount++;
        if (report.isUnhealthy()
                && Integer.valueOf(report.serverStart()).equals(readyCaches.get(cache))) {
            relay(now, cache, report, writtenAtNanos);
        }
    }

    /**
     * Relays a direct report once under its reporter's name, in clusters too large for the reporter
     * to send to every peer.
     */
    private void relay(long now, long cache, HealthReport report, long writtenAtNanos) {
        if (reportQueue.isSmallCluster()) {
            return;
        }
        if (directReporterCount(now, cache, report.serverStart())
                > settings.sufficientReporters()) {
            reportQueue.dropRelayed(cache);
        } else {
            enqueue(now, cache, report, writtenAtNanos);
        }
    }

    @Override
    public void writeSections(long now, int to, PayloadBuffer buffer) {
        addSection(now, to, buffer, true);
        addSection(now, to, buffer, false);
    }

    private void addSection(long now, int to, PayloadBuffer buffer, boolean local) {
        ByteBuffer section =
                reportQueue.nextBatch(
                        now, to, Math.min(MAX_SECTION_BYTES, buffer.availableBytes()), local);
        if (section.hasRemaining()) {
            buffer.add(local ? DIRECT_SECTION : RELAYED_SECTION, section);
        }
    }

    /**
     * Sends pending reports directly to every peer of a small cluster. A peer that misses one
     * receives it with the second send or with a probe.
     */
    private void sendToAll(long now) {
        sendAtNanos = NEVER;
        for (int to = 0; to < clusterSize; to++) {
            if (to != localRank && reportQueue.hasPending(to)) {
                ByteBuffer section = reportQueue.nextBatch(now, to, MAX_SECTION_BYTES, true);
                if (section.hasRemaining() && !actions.sendSection(to, DIRECT_SECTION, section)) {
                    reportQueue.onSendFailed(to);
                }
            }
        }
        sendAtNanos = reportQueue.isEmpty() ? NEVER : now + settings.minReportIntervalNanos();
    }

    /** Returns when {@link #onTimer} is to be called next. */
    public long nextWakeupNanos() {
        return Math.min(evaluateAtNanos, sendAtNanos);
    }

    /** Sends pending and drops expired reports; called at {@link #nextWakeupNanos} or later. */
    public void onTimer(long now) {
        if (now >= sendAtNanos) {
            sendToAll(now);
        }
        if (now >= evaluateAtNanos) {
            peerReports
                    .values()
                    .forEach(cacheReports -> cacheReports.expire(now, settings.expiryNanos()));
            peerReports.values().removeIf(PeerReports::isEmpty);
            evaluate(now);
        }
    }

    /**
     * Returns how many peers, trusted or not, report a cache as unhealthy themselves; if they are
     * enough, no further reports are sent.
     */
    private int directReporterCount(long now, long cache, int serverStart) {
        PeerReports cacheReports = peerReports.get(cache);
        return cacheReports == null
                ? 0
                : cacheReports
                        .directReporters(now, settings.expiryNanos(), serverStart, true)
                        .size();
    }

    private void evaluate(long now) {
        evaluateAtNanos = now + settings.halfLifeNanos() / 4;
        Set<Long> newOutliers = isolated ? Set.of() : evaluator.evaluate(now, evidence());
        if (!newOutliers.equals(outliers)) {
            outliers = newOutliers;
            actions.setOutliers(Set.copyOf(newOutliers));
        }
    }

    private OutlierEvaluator.Evidence evidence() {
        return new OutlierEvaluator.Evidence(readyCaches, localStats, peerReports);
    }

    /** Returns the caches that are ejected at present. */
    public Set<Long> outliers() {
        return outliers;
    }

    /**
     * Returns peers' latest reports on a cache, direct or relayed, by rank, and their ages in ns.
     */
    public Map<HealthReport, Long> reportAges(long now, long cache) {
        PeerReports cacheReports = peerReports.get(cache);
        return cacheReports == null ? Map.of() : cacheReports.reportAges(now);
    }

    /** Returns the caches on which any peer reports. */
    public Set<Long> reportedCaches() {
        return new TreeSet<>(peerReports.keySet());
    }

    /**
     * Numbers of reports since the start.
     *
     * @param written of this balancer, queued for its peers
     * @param merged received and newer than the known report
     * @param rejected received, but expired or impossible
     */
    public record ReportCounts(long written, long merged, long rejected) {}

    /** Returns how many reports were written, merged and rejected since the start. */
    public ReportCounts reportCounts() {
        return new ReportCounts(writtenCount, mergedCount, rejectedCount);
    }
}
