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
 * The ejection rule: which of the ready caches are outliers, by this balancer's own statistics and
 * its peers' reports. Keeps no state between evaluations.
 */
final class OutlierEvaluator {
    /** With fewer peers than this, all but one of them suffice as reporters. */
    private static final int FULL_QUORUM_PEERS = 4;

    /**
     * A reporter that its peers contradict on more than this fraction of the caches that both
     * report on is not trusted.
     */
    private static final double MAX_CONTRADICTED_FRACTION = 0.5;

    /** A reporter is trusted as long as fewer of its reports than this are contradicted. */
    private static final int MIN_CONTRADICTED_REPORTS = 2;

    private final HealthReportSettings settings;
    private final int clusterSize;
    private final boolean smallCluster;
    private final HealthReportAggregator.Trust trust;

    /** What one evaluation goes by; the maps are the aggregator's own and are only read. */
    record Evidence(
            Map<Long, Integer> readyCaches,
            Map<Long, LocalHealthStats> localStats,
            Map<Long, PeerReports> peerReports) {}

    /** A cache that enough reporters find unhealthy. */
    private record Suspect(long cache, int reporters, int observationBits) {
        /** Whether no attempt found its connection refused or reset. */
        boolean isReachable() {
            return (observationBits & AttemptObservation.UNREACHABLE_BITS) == 0;
        }
    }

    /** How many unhealthy reports a reporter has made, and how many of them are contradicted. */
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

    /** The outliers at this moment, at most the configured fraction of the ready caches. */
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
     * Whether peers report nothing but unanswered attempts at a cache that has answered this
     * balancer lately: it is slow for some keys, and for requests queued behind them on one
     * connection.
     */
    private boolean isSlowForSomeKeysOnly(
            long now, PeerReports.Summary summary, LocalHealthStats local) {
        return summary.observationBits() == AttemptObservation.SILENT.bit()
                && local != null
                && local.hasFreshSuccess(now, settings.halfLifeNanos());
    }

    /**
     * Whether this balancer counts as one more reporter, which needs no trust: unless its last
     * attempt was answered.
     */
    private boolean isLocallyUnhealthy(long now, LocalHealthStats local) {
        return local != null && local.isFailing() && local.isUnhealthy(now, settings);
    }

    /**
     * Drops suspects with too few reporters. Where many reachable caches fail at once the cause is
     * taken to lie behind all of them, such as their origin, and no reachable one is an outlier.
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
     * Reporters whose unhealthy reports are mostly contradicted by others and confirmed by nobody.
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
