package frostrelay.healthreports;

import frostrelay.gossip.PayloadBuffer;
import frostrelay.gossip.PayloadProvider;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What this balancer makes of its caches, by its own attempts and by what others say that they saw.
 * Others' word is advice: it lowers a cache, never ends its traffic, and own fresh answers outweigh
 * it. Decides by events alone; for one thread; moments are nanoseconds of one clock that never
 * falls. {@code docs/design/shared-state.md} has the ways weighed.
 */
public final class HealthReportAggregator implements PayloadProvider {
    /** What comes of it. */
    public interface Actions {
        /** Exactly these caches are lowered from now on. */
        void setOutliers(Set<Long> outliers);

        /** Something is to be told soon, to whomever. */
        void onReportsPending();

        /**
         * Sends one section to one balancer now; false where the bounds on talk do not let it
         * through.
         */
        boolean sendSection(int to, int type, ByteBuffer section);

        /** By its own attempts this balancer finds a cache bad, and did not before. */
        void onLocallyUnhealthy(long cache);
    }

    /**
     * Whether another's word counts at a moment: it is heard, and acts on a list that is not old.
     */
    public interface Trust {
        boolean isTrusted(long now, int rank);
    }

    /** What its writer says itself, and what another brings of it. */
    private static final int DIRECT_SECTION = 32;

    private static final int RELAYED_SECTION = 33;

    /** So much of a datagram is filled with one section. */
    private static final int MAX_SECTION_BYTES = 180;

    private static final int MAX_CACHES = 4_096;

    /** Fewer others than this: all but one of them are the witnesses that it takes. */
    private static final int FULL_QUORUM_PEERS = 4;

    /**
     * Contradicted by the others about so large a part of the caches that both know, one's word
     * counts for nothing.
     */
    private static final double MAX_CONTRADICTED_FRACTION = 0.5;

    private static final long NEVER = Long.MAX_VALUE;

    private final HealthReportSettings settings;
    private final int localRank;
    private final int clusterSize;
    private final ReportQueue reportQueue;
    private final Trust trust;
    private final Actions actions;
    private long incarnation;

    /** The caches that the own list names as ready, and their starts. */
    private Map<Long, Integer> readyCaches = Map.of();

    private final Map<Long, LocalHealthStats> localStats = new HashMap<>();
    private final Map<Long, PeerReports> peerReports = new HashMap<>();
    private Set<Long> outliers = Set.of();
    private boolean isolated;
    private long evaluateAtNanos;

    /** When all others are told straight, in a small tier. */
    private long sendAtNanos = NEVER;

    private long writtenCount;
    private long mergedCount;
    private long rejectedCount;

    /**
     * {@code localRank}: this balancer's number among {@code clusterSize}; {@code incarnation}: its
     * incarnation.
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
        this.trust = trust;
        this.actions = actions;
        int fanout =
                (int)
                        Math.ceil(
                                settings.fanoutFactor()
                                        * Math.log(clusterSize + 1.0)
                                        / Math.log(2));
        reportQueue =
                new ReportQueue(
                        localRank,
                        clusterSize,
                        fanout,
                        settings.relayFanout(),
                        settings.expiryNanos());
    }

    // What comes in.

    /**
     * The caches that the own list names as ready, with their own starts in milliseconds. What is
     * known of another start is over.
     */
    public void onEndpointList(long now, Map<Long, Long> caches) {
        Map<Long, Integer> updated = new HashMap<>();
        caches.forEach((cache, serverStart) -> updated.put(cache, (int) (long) serverStart));
        localStats
                .keySet()
                .removeIf(
                        cache ->
                                !updated.containsKey(cache)
                                        || readyCaches.containsKey(cache)
                                                && !readyCaches
                                                        .get(cache)
                                                        .equals(updated.get(cache)));
        readyCaches = updated;
        evaluate(now);
    }

    /** This balancer goes by another incarnation from now on. */
    public void onIncarnationChange(long newIncarnation) {
        incarnation = newIncarnation;
    }

    /** Whether anybody is heard at all. */
    public void onIsolation(long now, boolean isolatedNow) {
        isolated = isolatedNow;
        evaluate(now);
    }

    /**
     * An attempt of this balancer at a cache, which began at {@code sentAtNanos}, told this of it.
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

    /** Writes what is news: bad after good, again while it is bad, and good after bad at once. */
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
     * A section came from a peer in that life of it, held up for so long on its way; one of another
     * module is passed over. What it brings of others is kept apart from what it says itself.
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
            HealthReport report = decoded.report();
            boolean invalid =
                    report.rank() == localRank
                            || relayed
                                    && (report.rank() == sender
                                            || report.rank() >= clusterSize
                                            || !report.isUnhealthy());
            if (invalid
                    || decoded.ageNanos() + delayNanos >= settings.expiryNanos()
                    || peerReports.size() >= MAX_CACHES
                            && !peerReports.containsKey(decoded.cache())) {
                rejectedCount++;
                continue;
            }
            PeerReports cacheReports =
                    peerReports.computeIfAbsent(decoded.cache(), id -> new PeerReports());
            long writtenAtNanos = now - delayNanos - decoded.ageNanos();
            boolean accepted =
                    relayed
                            ? cacheReports.addRelayed(sender, report, writtenAtNanos)
                            : cacheReports.addDirect(report, writtenAtNanos);
            mergedCount += accepted ? 1 : 0;
            if (accepted
                    && !relayed
                    && report.isUnhealthy()
                    && Integer.valueOf(report.serverStart())
                            .equals(readyCaches.get(decoded.cache()))) {
                relay(now, decoded.cache(), report, writtenAtNanos);
            }
        }
        evaluate(now);
    }

    /**
     * What one has said itself is told on once, as its word, in tiers too large for it to tell
     * everybody.
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
    public void writeSections(long now, int to, PayloadBuffer hold) {
        addSection(now, to, hold, true);
        addSection(now, to, hold, false);
    }

    private void addSection(long now, int to, PayloadBuffer hold, boolean local) {
        ByteBuffer section =
                reportQueue.nextBatch(
                        now, to, Math.min(MAX_SECTION_BYTES, hold.availableBytes()), local);
        if (section.hasRemaining()) {
            hold.add(local ? DIRECT_SECTION : RELAYED_SECTION, section);
        }
    }

    /**
     * In a small tier all are told straight; what got lost comes with the second copy, or with a
     * probe.
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

    // Judging.

    /** When {@link #onTimer} is to be called next. */
    public long nextWakeupNanos() {
        return Math.min(evaluateAtNanos, sendAtNanos);
    }

    /** To be called at {@link #nextWakeupNanos}, or a little later: what is old is forgotten. */
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

    private int requiredReporters() {
        return clusterSize - 1 >= FULL_QUORUM_PEERS
                ? settings.requiredReporters()
                : Math.max(1, clusterSize - 2);
    }

    /**
     * Others that say themselves that a cache is bad, whoever they are: enough of them need not be
     * told of more.
     */
    private int directReporterCount(long now, long cache, int serverStart) {
        PeerReports cacheReports = peerReports.get(cache);
        return cacheReports == null
                ? 0
                : cacheReports
                        .directReporters(now, settings.expiryNanos(), serverStart, true)
                        .size();
    }

    /**
     * Those whose word on most of the caches of which they speak, two at least, is contradicted by
     * others and shared by none.
     */
    private Set<Integer> contradictedReporters(long now) {
        Map<Integer, int[]> counts = new HashMap<>();
        peerReports.forEach(
                (cache, cacheReports) -> {
                    Integer serverStart = readyCaches.get(cache);
                    if (serverStart == null) {
                        return;
                    }
                    LocalHealthStats local = localStats.get(cache);
                    List<Integer> unhealthyReporters =
                            cacheReports.directReporters(
                                    now, settings.expiryNanos(), serverStart, true);
                    boolean hasHealthyReport =
                            local != null && local.hasFreshSuccess(now, settings.freshNanos())
                                    || !cacheReports
                                            .directReporters(
                                                    now, settings.expiryNanos(), serverStart, false)
                                            .isEmpty();
                    for (int rank : unhealthyReporters) {
                        int[] totalAndContradicted =
                                counts.computeIfAbsent(rank, one -> new int[2]);
                        totalAndContradicted[0]++;
                        totalAndContradicted[1] +=
                                hasHealthyReport && unhealthyReporters.size() <= 1 ? 1 : 0;
                    }
                });
        Set<Integer> untrusted = new HashSet<>();
        counts.forEach(
                (rank, totalAndContradicted) -> {
                    if (totalAndContradicted[1] >= 2
                            && totalAndContradicted[1]
                                    > MAX_CONTRADICTED_FRACTION * totalAndContradicted[0]) {
                        untrusted.add(rank);
                    }
                });
        return untrusted;
    }

    private record Suspect(long cache, int reporters, int observationBits) {
        /** Whether it was there whenever it was seen: connections came up and stayed. */
        boolean isReachable() {
            return (observationBits & AttemptObservation.UNREACHABLE_BITS) == 0;
        }
    }

    private void evaluate(long now) {
        evaluateAtNanos = now + settings.halfLifeNanos() / 4;
        List<Suspect> suspects = new ArrayList<>();
        if (!isolated) {
            Set<Integer> untrusted = peerReports.isEmpty() ? Set.of() : contradictedReporters(now);
            peerReports.forEach(
                    (cache, cacheReports) -> {
                        Integer serverStart = readyCaches.get(cache);
                        LocalHealthStats local = localStats.get(cache);
                        if (serverStart == null
                                || local != null
                                        && local.hasFreshSuccess(now, settings.freshNanos())) {
                            return;
                        }
                        PeerReports.Summary summary =
                                cacheReports.summarize(
                                        now,
                                        settings.expiryNanos(),
                                        serverStart,
                                        local == null ? Long.MIN_VALUE : local.answeredAtNanos(),
                                        rank ->
                                                !untrusted.contains(rank)
                                                        && trust.isTrusted(now, rank));
                        if (summary.observationBits() == AttemptObservation.SILENT.bit()
                                && local != null
                                && local.hasFreshSuccess(now, settings.halfLifeNanos())) {
                            // It is slow for some keys, and for what waits behind them on one
                            // connection.
                            return;
                        }
                        // Its own attempts are one more witness, who needs nobody's trust, but for
                        // one whose last attempt was answered.
                        int reporters =
                                summary.unhealthyReporters()
                                        + (local != null
                                                        && local.isFailing()
                                                        && local.isUnhealthy(now, settings)
                                                ? 1
                                                : 0);
                        if (reporters > 2 * summary.healthyReporters()) {
                            suspects.add(new Suspect(cache, reporters, summary.observationBits()));
                        }
                    });
        }
        // Where so many fail, or leave some unanswered, the cause is behind them all: no cache is
        // worse than another.
        int minReporters =
                Math.max(
                        1,
                        reportQueue.isSmallCluster()
                                ? requiredReporters() - 1
                                : requiredReporters());
        long commonCauseSuspects =
                suspects.stream()
                        .filter(
                                suspect ->
                                        suspect.reporters >= minReporters && suspect.isReachable())
                        .count();
        suspects.removeIf(
                suspect ->
                        suspect.reporters < requiredReporters()
                                || commonCauseSuspects
                                                > settings.commonCauseFraction()
                                                        * readyCaches.size()
                                        && suspect.isReachable());
        suspects.sort(
                Comparator.comparingInt((Suspect suspect) -> -suspect.reporters)
                        .thenComparingLong(Suspect::cache));
        int maxOutliers =
                readyCaches.size() < 2
                        ? 0
                        : (int) Math.ceil(readyCaches.size() * settings.maxEjectedFraction());
        Set<Long> newOutliers = new TreeSet<>();
        suspects.stream().limit(maxOutliers).forEach(suspect -> newOutliers.add(suspect.cache));
        if (!newOutliers.equals(outliers)) {
            outliers = newOutliers;
            actions.setOutliers(Set.copyOf(newOutliers));
        }
    }

    // What is known.

    /** The caches that are lowered. */
    public Set<Long> outliers() {
        return outliers;
    }

    /**
     * What others say of a cache, or are said to say, with the age of each in nanoseconds, by their
     * numbers.
     */
    public Map<HealthReport, Long> reportAges(long now, long cache) {
        PeerReports cacheReports = peerReports.get(cache);
        return cacheReports == null ? Map.of() : cacheReports.reportAges(now);
    }

    /** Caches of which anybody says anything. */
    public Set<Long> reportedCaches() {
        return new TreeSet<>(peerReports.keySet());
    }

    /**
     * Evidence that was written here, that was taken from others, and that was passed over as old
     * or impossible.
     */
    public long[] counts() {
        return new long[] {writtenCount, mergedCount, rejectedCount};
    }
}
