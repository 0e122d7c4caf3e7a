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
 * What others say of one cache. Each writer's own word is a register of its own; what a third
 * brings of it stands beside it, by who brought it, and is passed over where the writer itself has
 * spoken since. For one thread.
 */
final class PeerReports {
    /**
     * So many writers that only others bring are kept, and so many who bring each: more voices than
     * anybody needs.
     */
    private static final int MAX_RELAYED_REPORTERS = 24;

    private static final int MAX_RELAYS_PER_REPORTER = 3;

    /** Evidence, and when its writer wrote it, on this balancer's clock. */
    static final class LatestReport {
        HealthReport report;
        long writtenAtNanos;

        /** Takes the later; whether that changed anything. */
        boolean merge(HealthReport other, long otherWrittenAtNanos) {
            HealthReport joined = HealthReport.newerOf(report, other);
            if (joined.equals(report)) {
                return false;
            }
            report = joined;
            writtenAtNanos = otherWrittenAtNanos;
            return true;
        }

        private boolean isCurrent(long now, long expiryNanos, int serverStart) {
            return now - writtenAtNanos < expiryNanos && report.serverStart() == serverStart;
        }
    }

    private final Map<Integer, LatestReport> direct = new HashMap<>();

    /** By writer and by who brought it. */
    private final Map<Integer, Map<Integer, LatestReport>> relayed = new TreeMap<>();

    /** A balancer's own word came from itself. */
    boolean addDirect(HealthReport report, long writtenAtNanos) {
        return direct.computeIfAbsent(report.rank(), rank -> new LatestReport())
                .merge(report, writtenAtNanos);
    }

    /** A balancer brings what another said to it; whether it was taken. */
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
     * What all of it comes to: voices that find the cache bad, those that find it well, and of what
     * kind.
     */
    record Summary(int unhealthyReporters, int healthyReporters, int observationBits) {}

    /**
     * A voice is a writer that spoke itself, or one with somebody who brings it; nobody takes part
     * in two voices, as writer or as bringer, so that one liar is one voice whatever it writes in
     * whose name. Word that is older than {@code supersededBeforeNanos} does not count, nor does
     * that of those who do not {@code isTrusted}.
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
                boolean counts =
                        latest.isCurrent(now, expiryNanos, serverStart)
                                && latest.writtenAtNanos > supersededBeforeNanos
                                && latest.report.isUnhealthy()
                                && (directReport == null
                                        || !directReport.report.isNewerThan(latest.report))
                                && !usedReporters.contains(relayEntry.getKey())
                                && isTrusted.test(relayEntry.getKey());
                if (counts) {
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

    /** Those that themselves say that it is bad, or that it is well. */
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

    /**
     * Each one's latest word, first-hand or brought, with its age in nanoseconds, by their numbers.
     */
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
