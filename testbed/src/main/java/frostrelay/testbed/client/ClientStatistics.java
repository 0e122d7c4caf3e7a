package frostrelay.testbed.client;

import org.HdrHistogram.Histogram;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Outcomes and latencies by request; a client's retries count as part of their request. Latencies
 * are measured from the intended send time, so that they include delays before sending.
 * Thread-safe.
 */
public final class ClientStatistics {
    /** The final outcome of a request over all its attempts. */
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

    /** Records that a request was due. */
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

    /**
     * Records the outcome of a request. {@code nanos}: from its intended send time; used for served
     * requests only.
     */
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

    /** The requests that ended since the previous call of {@link #recent}. */
    public record Recent(long completed, long inTime, double p50Ms, double p99Ms) {}

    /** Returns the requests that ended since the previous call. */
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

    /** Returns the number of requests so far. */
    public synchronized long requests() {
        return requests;
    }

    /** Returns the number of attempts so far, including clients' retries. */
    public synchronized long attempts() {
        return attempts;
    }

    /** Returns the number of responses that did not match their request. */
    public synchronized long wrongResponses() {
        return wrongResponses;
    }

    /** Returns the number of requests with this outcome. */
    public synchronized long count(Outcome end) {
        return outcomesByClass.values().stream().mapToLong(counts -> counts[end.ordinal()]).sum();
    }

    /** Returns the number of requests by class and outcome. */
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

    /** Returns the weight of requests answered in time divided by the weight of all requests. */
    public synchronized double serviceLevel() {
        return requestedWeight == 0 ? 0 : servedWeight / requestedWeight;
    }

    /** Returns a percentile of the latency of served requests, in milliseconds. */
    public synchronized double latencyMillis(double percentile) {
        return latencyMillis(latency, percentile);
    }
}
