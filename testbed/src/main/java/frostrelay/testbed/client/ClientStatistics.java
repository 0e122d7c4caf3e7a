package frostrelay.testbed.client;

import org.HdrHistogram.Histogram;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What clients got, by first tries: a client's retries belong to its first try. Latencies run from
 * the moment a request was meant to be sent, so that waiting for a turn is not hidden. Safe for
 * threads.
 */
public final class ClientStatistics {
    /** How a first try ended, over all its tries. */
    public enum Outcome {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        LOST,
        EXCUSED,
        LEFT
    }

    private static final long MAX_LATENCY_MICROS = 120_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, long[]> outcomesByClass = new LinkedHashMap<>();
    private Histogram recentLatency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private long[] recentOutcomes = new long[Outcome.values().length];
    private long requests;
    private long attempts;
    private long wrongResponses;
    private double requestedWeight;
    private double servedWeight;

    /** A first try was due. */
    synchronized void requests(PlannedRequest planned) {
        requests++;
        requestedWeight += planned.requestClass().priorityWeight();
        outcomesByClass.computeIfAbsent(
                planned.requestClass().name(), name -> new long[Outcome.values().length]);
    }

    synchronized void recordAttempt() {
        attempts++;
    }

    synchronized void recordWrongResponse() {
        wrongResponses++;
    }

    /** A first try is over. {@code nanos}: from its intended time, for those that were served. */
    synchronized void recordOutcome(PlannedRequest planned, Outcome outcome, long nanos) {
        outcomesByClass.get(planned.requestClass().name())[outcome.ordinal()]++;
        recentOutcomes[outcome.ordinal()]++;
        if (outcome == Outcome.IN_TIME || outcome == Outcome.LATE) {
            long micros = Math.min(MAX_LATENCY_MICROS, nanos / 1_000);
            latency.recordValue(micros);
            recentLatency.recordValue(micros);
            servedWeight +=
                    outcome == Outcome.IN_TIME ? planned.requestClass().priorityWeight() : 0;
        }
    }

    /** What has ended since this was last asked. */
    public record Recent(long completed, long inTime, double p50Ms, double p99Ms) {}

    /** What has ended since this was last asked. */
    public synchronized Recent recent() {
        long all = 0;
        for (long count : recentOutcomes) {
            all += count;
        }
        Recent now =
                new Recent(
                        all,
                        recentOutcomes[Outcome.IN_TIME.ordinal()],
                        latencyMillis(recentLatency, 50),
                        latencyMillis(recentLatency, 99));
        recentLatency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        recentOutcomes = new long[Outcome.values().length];
        return now;
    }

    private static double latencyMillis(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0
                ? 0
                : histogram.getValueAtPercentile(percentile) / 1e3;
    }

    /** First tries so far. */
    public synchronized long requests() {
        return requests;
    }

    /** Tries so far, clients' retries included. */
    public synchronized long attempts() {
        return attempts;
    }

    /** Answers that were not what was asked for. */
    public synchronized long wrongResponses() {
        return wrongResponses;
    }

    /** First tries that ended so. */
    public synchronized long count(Outcome end) {
        return outcomesByClass.values().stream().mapToLong(counts -> counts[end.ordinal()]).sum();
    }

    /** First tries of a class that ended so. */
    public synchronized Map<String, Map<String, Long>> byClass() {
        Map<String, Map<String, Long>> all = new LinkedHashMap<>();
        outcomesByClass.forEach(
                (name, counts) -> {
                    Map<String, Long> one = new LinkedHashMap<>();
                    for (Outcome end : Outcome.values()) {
                        one.put(
                                end.name().toLowerCase(java.util.Locale.ROOT),
                                counts[end.ordinal()]);
                    }
                    all.put(name, one);
                });
        return all;
    }

    /** Worth answered in time over worth asked for. */
    public synchronized double serviceLevel() {
        return requestedWeight == 0 ? 0 : servedWeight / requestedWeight;
    }

    /** A percentile of served latencies, in milliseconds. */
    public synchronized double latencyMillis(double percentile) {
        return latencyMillis(latency, percentile);
    }
}
