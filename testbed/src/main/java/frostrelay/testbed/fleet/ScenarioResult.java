package frostrelay.testbed.fleet;

import frostrelay.testbed.client.ClientStatistics;
import frostrelay.testbed.invariants.Invariant;
import frostrelay.testbed.invariants.InvariantChecker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The result of a scenario run. */
public record ScenarioResult(
        ClientStatistics statistics,
        InvariantChecker invariantChecker,
        long hits,
        long misses,
        long fetches,
        double seconds) {
    /**
     * Returns whether requests were sent, no invariant was violated, and no request got a wrong
     * response or none.
     */
    public boolean isSuccessful() {
        return statistics.requests() > 0
                && statistics.wrongResponses() == 0
                && statistics.count(ClientStatistics.Outcome.LOST) == 0
                && invariantChecker.violationCount() == 0;
    }

    /** Returns the fraction of reads that caches served from memory. */
    public double hitRatio() {
        return hits + misses == 0 ? 0 : hits / (double) (hits + misses);
    }

    /** Returns the number of hedged requests per attempt of a client. */
    public double hedgeRatio() {
        return statistics.attempts() == 0
                ? 0
                : invariantChecker.hedgeCount() / (double) statistics.attempts();
    }

    /** Returns all figures in the machine-readable form. */
    public Map<String, Object> json() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("asked", statistics.requests());
        all.put("tries", statistics.attempts());
        all.put("servedInTime", statistics.count(ClientStatistics.Outcome.IN_TIME));
        all.put("servedLate", statistics.count(ClientStatistics.Outcome.LATE));
        all.put("refused", statistics.count(ClientStatistics.Outcome.REFUSED));
        all.put("failed", statistics.count(ClientStatistics.Outcome.FAILED));
        all.put("excused", statistics.count(ClientStatistics.Outcome.EXCUSED));
        all.put("wrong", statistics.wrongResponses());
        all.put("lost", statistics.count(ClientStatistics.Outcome.LOST));
        all.put("ruleBreaks", invariantChecker.violationCount());
        all.put("p50Ms", round(statistics.latencyMillis(50)));
        all.put("p90Ms", round(statistics.latencyMillis(90)));
        all.put("p99Ms", round(statistics.latencyMillis(99)));
        all.put("p999Ms", round(statistics.latencyMillis(99.9)));
        all.put("service", round(statistics.serviceLevel()));
        all.put("copyShare", round(hedgeRatio()));
        all.put("hitShare", round(hitRatio()));
        all.put("fetches", fetches);
        all.put("seconds", round(seconds));
        all.put("classes", statistics.byClass());
        Map<String, Object> rules = new LinkedHashMap<>();
        for (Invariant rule : Invariant.values()) {
            rules.put(rule.name().toLowerCase(Locale.ROOT), invariantChecker.violationCount(rule));
        }
        all.put("rules", rules);
        List<String> breaches = new ArrayList<>();
        invariantChecker
                .violations()
                .forEach(breach -> breaches.add(breach.invariant() + ": " + breach.detail()));
        all.put("breaches", breaches);
        return all;
    }

    private static double round(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }

    /** Returns all figures as text. */
    public String text() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%,d requests in %.1f s: %.2f%% served in time, %d late, %d refused, %d failed, %d lost, %d wrong%n"
                                        + "latency from the intended time: p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n"
                                        + "copies %.1f%% of tries, hits %.1f%% of reads at caches, %,d calls to the archive%n",
                                statistics.requests(),
                                seconds,
                                100.0
                                        * statistics.count(ClientStatistics.Outcome.IN_TIME)
                                        / Math.max(1, statistics.requests()),
                                statistics.count(ClientStatistics.Outcome.LATE),
                                statistics.count(ClientStatistics.Outcome.REFUSED),
                                statistics.count(ClientStatistics.Outcome.FAILED),
                                statistics.count(ClientStatistics.Outcome.LOST),
                                statistics.wrongResponses(),
                                statistics.latencyMillis(50),
                                statistics.latencyMillis(90),
                                statistics.latencyMillis(99),
                                statistics.latencyMillis(99.9),
                                100 * hedgeRatio(),
                                100 * hitRatio(),
                                fetches));
        if (invariantChecker.violationCount() == 0) {
            text.append("rules: all kept");
        } else {
            text.append("rules broken ")
                    .append(invariantChecker.violationCount())
                    .append(" times:");
            invariantChecker.violations().stream()
                    .limit(10)
                    .forEach(
                            breach ->
                                    text.append(System.lineSeparator())
                                            .append("  ")
                                            .append(breach.invariant())
                                            .append(": ")
                                            .append(breach.detail()));
        }
        return text.toString();
    }
}
