package frostrelay.healthreports;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/**
 * Peers' reports on one cache. A reporter's direct report and the copies that other peers relay are
 * kept apart; a relayed copy does not count if a newer direct report is known. Not thread-safe.
 */
final class PeerReports {
    /** Bounds on memory, above the number of reporters that any decision needs. */
    private static final int MAX_RELAYED_REPORTERS = 24;

    private static final int MAX_RELAYS_PER_REPORTER = 3;

    /** A report, with the time at which it was written, on this balancer's clock. */
    static final class LatestReport {
        HealthReport report;
        long writtenAtNanos;

        /** Keeps the newer report; returns whether that changed anything. */
        boolean merge(HealthReport other, long otherWrittenAtNanos) {
            HealthReport newer = HealthReport.newerOf(report, other);
            if (newer.equals(report)) {
                return false;
            }
            report = newer;
            writtenAtNanos = otherWrittenAtNanos;
            return true;
        }

        private boolean isCurrent(long now, long expiryNanos, int serverStart) {
            return now - writtenAtNanos < expiryNanos && report.serverStart() == serverStart;
        }
    }

    private final Map<Integer, LatestReport> direct = new HashMap<>();

    /** By reporter, then by the peer that relayed it. */
    private final Map<Integer, Map<Integer, LatestReport>> relayed = new TreeMap<>();

    /** Adds a report that its reporter sent; returns whether it is newer than the known one. */
    boolean addDirect(HealthReport report, long writtenAtNanos) {
        return direct.computeIfAbsent(report.rank(), rank -> new LatestReport())
                .merge(report, writtenAtNanos);
    }

    /** Adds a report that another peer relayed; returns whether it is newer than the known one. */
    boolean addRelayed(int relay, HealthReport report, long writtenAtNanos) {
        Map<Integer, LatestReport> byRelay = relayed.get(report.rank());
        if (byRelay == null) {
            if (relayed.size() >= MAX_RELAYED_REPORTERS) {
                return false;
            }
            byRelay = new TreeMap<>();
            relayed.put(report.rank(), byRelay);
        }
        if (!byRelay.containsKey(relay) && byRelay.size() >= MAX_RELAYS_PER_REPORTER) {
            return false;
        }
        return byRelay.computeIfAbsent(relay, rank -> new LatestReport())
                .merge(report, writtenAtNanos);
    }

    void expire(long now, long expiryNanos) {
        direct.values().removeIf(known -> now - known.writtenAtNanos >= expiryNanos);
        relayed.values()
                .forEach(
                        byRelay ->
                                byRelay.values()
                                        .removeIf(
                                                known ->
                                                        now - known.writtenAtNanos >= expiryNanos));
        relayed.values().removeIf(Map::isEmpty);
    }

    boolean isEmpty() {
        return direct.isEmpty() && relayed.isEmpty();
    }

    /**
     * A summary of all current reports on the cache.
     *
     * @param unhealthyReporters independent reporters that find it unhealthy
     * @param healthyReporters direct reporters that find it healthy
     * @param observationBits observations of the unhealthy reporters, see {@link
     *     AttemptObservation#bit}
     */
    record Summary(int unhealthyReporters, int healthyReporters, int observationBits) {}

    /**
     * Counts independent reporters. A reporter counts through its direct report, or through a
     * relayed one together with the relaying peer. No peer is used twice, as reporter or relay, so
     * a peer that sends false reports under several names counts once.
     *
     * @param supersededBeforeNanos unhealthy reports written at or before this time do not count
     * @param isTrusted tests a rank; reports written or relayed by other peers do not count
     */
    Summary summarize(
            long now,
            long expiryNanos,
            int serverStart,
            long supersededBeforeNanos,
            IntPredicate isTrusted) {
        int unhealthyReporters = 0;
        int healthyReporters = 0;
        int observationBits = 0;
        Set<Integer> usedReporters = new HashSet<>();
        for (Map.Entry<Integer, LatestReport> entry : direct.entrySet()) {
            LatestReport latest = entry.getValue();
            if (!latest.isCurrent(now, expiryNanos, serverStart)
                    || !isTrusted.test(entry.getKey())) {
                continue;
            }
            if (latest.report.isUnhealthy() && latest.writtenAtNanos > supersededBeforeNanos) {
                unhealthyReporters++;
                observationBits |= latest.report.observationBits();
                usedReporters.add(entry.getKey());
            } else if (!latest.report.isUnhealthy()) {
                healthyReporters++;
            }
        }
        for (Map.Entry<Integer, Map<Integer, LatestReport>> entry : relayed.entrySet()) {
            int reporter = entry.getKey();
            LatestReport directReport = direct.get(reporter);
            if (usedReporters.contains(reporter) || !isTrusted.test(reporter)) {
                continue;
            }
            for (Map.Entry<Integer, LatestReport> relayEntry : entry.getValue().entrySet()) {
                LatestReport latest = relayEntry.getValue();
                boolean isIndependent =
                        latest.isCurrent(now, expiryNanos, serverStart)
                                && latest.writtenAtNanos > supersededBeforeNanos
                                && latest.report.isUnhealthy()
                                && (directReport == null
                                        || !directReport.report.isNewerThan(latest.report))
                                && !usedReporters.contains(relayEntry.getKey())
                                && isTrusted.test(relayEntry.getKey());
                if (isIndependent) {
                    usedReporters.add(reporter);
                    usedReporters.add(relayEntry.getKey());
                    unhealthyReporters++;
                    observationBits |= latest.report.observationBits();
                    break;
                }
            }
        }
        return new Summary(unhealthyReporters, healthyReporters, observationBits);
    }

    /**
     * Returns the ranks of the peers whose own current report finds the cache unhealthy, or
     * healthy.
     */
    List<Integer> directReporters(long now, long expiryNanos, int serverStart, boolean unhealthy) {
        List<Integer> found = new ArrayList<>();
        direct.forEach(
                (rank, known) -> {
                    if (known.isCurrent(now, expiryNanos, serverStart)
                            && known.report.isUnhealthy() == unhealthy) {
                        found.add(rank);
                    }
                });
        return found;
    }

    /** Returns each reporter's latest report, direct or relayed, and its age in ns, by rank. */
    Map<HealthReport, Long> reportAges(long now) {
        Map<Integer, LatestReport> latest = new TreeMap<>(direct);
        relayed.forEach(
                (reporter, byRelay) ->
                        byRelay.values()
                                .forEach(
                                        known ->
                                                latest.merge(
                                                        reporter,
                                                        known,
                                                        (a, b) ->
                                                                a.report.isNewerThan(b.report)
                                                                                || a.report.equals(
                                                                                        b.report)
                                                                        ? a
                                                                        : b)));
        Map<HealthReport, Long> agesByReport = new LinkedHashMap<>();
        latest.values()
                .forEach(known -> agesByReport.put(known.report, now - known.writtenAtNanos));
        return agesByReport;
    }
}
