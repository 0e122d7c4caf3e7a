package frostrelay.healthreports;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The ejection rule, which selects the outliers among the ready caches from this balancer's own
 * statistics and its peers' reports. Keeps no state between evaluations.
 */
final class OutlierEvaluator {
    /** Number of peers below which reports of all peers but one are sufficient. */
    private static final int FULL_QUORUM_PEERS = 4;

    /**
     * A reporter is not trusted if more than this fraction of its unhealthy reports is contradicted
     * and it has at least {@link #MIN_CONTRADICTED_REPORTS} such reports.
     */
    private static final double MAX_CONTRADICTED_FRACTION = 0.5;

    /** A reporter with fewer contradicted reports than this is trusted. */
    private static final int MIN_CONTRADICTED_REPORTS = 2;

    private final HealthReportSettings settings;
    private final int clusterSize;
    private final boolean smallCluster;
    private final HealthReportAggregator.Trust trust;

    /** Input of one evaluation; the maps belong to the aggregator and are not modified. */
    record Evidence(
            Map<Long, Integer> readyCaches,
            Map<Long, LocalHealthStats> localStats,
            Map<Long, PeerReports> peerReports) {}

    /** A cache that enough reporters find unhealthy. */
    private record Suspect(long cache, int reporters, int observationBits) {
        /** Returns whether no attempt found its connection refused or reset. */
        boolean isReachable() {
            return (observationBits & AttemptObservation.UNREACHABLE_BITS) == 0;
        }
    }

    /** Counts of a reporter's unhealthy reports, and of those that are contradicted. */
    private static final class ContradictionCount {
        int total;
        int contradicted;

        boolean isUntrusted() {
            return contradicted >= MIN_CONTRADICTED_REPORTS
                    && contradicted > MAX_CONTRADICTED_FRACTION * total;
        }
    }

    OutlierEvaluator(
            HealthReportSettings settings,
            int clusterSize,
            boolean smallCluster,
            HealthReportAggregator.Trust trust) {
        this.settings = settings;
        this.clusterSize = clusterSize;
        this.smallCluster = smallCluster;
        this.trust = trust;
    }

    /** Returns the outliers at this moment, at most the configured fraction of the ready caches. */
    Set<Long> evaluate(long now, Evidence evidence) {
        List<Suspect> suspects = findSuspects(now, evidence);
        removeUnconfirmed(suspects, evidence.readyCaches.size());
        suspects.sort(
                Comparator.comparingInt((Suspect suspect) -> -suspect.reporters)
                        .thenComparingLong(Suspect::cache));
        Set<Long> outliers = new TreeSet<>();
        suspects.stream()
                .limit(maxOutliers(evidence.readyCaches.size()))
                .forEach(suspect -> outliers.add(suspect.cache));
        return outliers;
    }

    private List<Suspect> findSuspects(long now, Evidence evidence) {
        Set<Integer> untrusted =
                evidence.peerReports.isEmpty() ? Set.of() : untrustedReporters(now, evidence);
        List<Suspect> suspects = new ArrayList<>();
        evidence.peerReports.forEach(
                (cache, cacheReports) -> {
                    Integer serverStart = evidence.readyCaches.get(cache);
                    LocalHealthStats local = evidence.localStats.get(cache);
                    if (serverStart == null
                            || local != null && local.hasFreshSuccess(now, settings.freshNanos())) {
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
                    if (isSlowForSomeKeysOnly(now, summary, local)) {
                        return;
                    }
                    int reporters =
                            summary.unhealthyReporters() + (isLocallyUnhealthy(now, local) ? 1 : 0);
                    if (reporters > 2 * summary.healthyReporters()) {
                        suspects.add(new Suspect(cache, reporters, summary.observationBits()));
                    }
                });
        return suspects;
    }

    /**
     * Returns whether peers report only unanswered attempts at a cache that has answered this
     * balancer recently. Such a cache is slow for some keys, and for requests queued after them on
     * the same connection.
     */
    private boolean isSlowForSomeKeysOnly(
            long now, PeerReports.Summary summary, LocalHealthStats local) {
        return summary.observationBits() == AttemptObservation.SILENT.bit()
                && local != null
                && local.hasFreshSuccess(now, settings.halfLifeNanos());
    }

    /**
     * Returns whether this balancer counts as one more reporter: its own statistics show the cache
     * unhealthy and its last attempt was not answered. Trust is checked for peers only.
     */
    private boolean isLocallyUnhealthy(long now, LocalHealthStats local) {
        return local != null && local.isFailing() && local.isUnhealthy(now, settings);
    }

    /**
     * Drops suspects with too few reporters. If many reachable caches fail at once, a common cause
     * such as their origin is assumed, and no reachable cache is an outlier.
     */
    private void removeUnconfirmed(List<Suspect> suspects, int readyCaches) {
        int required = requiredReporters();
        int commonCauseReporters = Math.max(1, smallCluster ? required - 1 : required);
        long commonCauseSuspects =
                suspects.stream()
                        .filter(
                                suspect ->
                                        suspect.reporters >= commonCauseReporters
                                                && suspect.isReachable())
                        .count();
        boolean hasCommonCause = commonCauseSuspects > settings.commonCauseFraction() * readyCaches;
        suspects.removeIf(
                suspect -> suspect.reporters < required || hasCommonCause && suspect.isReachable());
    }

    private int requiredReporters() {
        return clusterSize - 1 >= FULL_QUORUM_PEERS
                ? settings.requiredReporters()
                : Math.max(1, clusterSize - 2);
    }

    private int maxOutliers(int readyCaches) {
        return readyCaches < 2 ? 0 : (int) Math.ceil(readyCaches * settings.maxEjectedFraction());
    }

    /**
     * Returns reporters whose unhealthy reports are mostly contradicted and not confirmed by
     * others.
     */
    private Set<Integer> untrustedReporters(long now, Evidence evidence) {
        Map<Integer, ContradictionCount> counts = new HashMap<>();
        evidence.peerReports.forEach(
                (cache, cacheReports) -> {
                    Integer serverStart = evidence.readyCaches.get(cache);
                    if (serverStart == null) {
                        return;
                    }
                    LocalHealthStats local = evidence.localStats.get(cache);
                    List<Integer> unhealthyReporters =
                            cacheReports.directReporters(
                                    now, settings.expiryNanos(), serverStart, true);
                    boolean contradicted =
                            unhealthyReporters.size() <= 1
                                    && hasHealthyReport(now, serverStart, local, cacheReports);
                    for (int rank : unhealthyReporters) {
                        ContradictionCount count =
                                counts.computeIfAbsent(rank, reporter -> new ContradictionCount());
                        count.total++;
                        count.contradicted += contradicted ? 1 : 0;
                    }
                });
        Set<Integer> untrusted = new HashSet<>();
        counts.forEach(
                (rank, count) -> {
                    if (count.isUntrusted()) {
                        untrusted.add(rank);
                    }
                });
        return untrusted;
    }

    private boolean hasHealthyReport(
            long now, int serverStart, LocalHealthStats local, PeerReports cacheReports) {
        return local != null && local.hasFreshSuccess(now, settings.freshNanos())
                || !cacheReports
                        .directReporters(now, settings.expiryNanos(), serverStart, false)
                        .isEmpty();
    }
}
