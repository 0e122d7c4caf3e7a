package frostrelay.rig.client;

import org.HdrHistogram.Histogram;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What clients got, by first tries: a client's retries belong to its first try. Latencies run from
 * the moment a request was meant to be sent, so that waiting for a turn is not hidden. Safe for
 * threads.
 */
public final class Tally {
    /** How a first try ended, over all its tries. */
    public enum End {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        LOST,
        EXCUSED,
        LEFT
    }

    private static final long MOST_MICROS = 120_000_000L;
    private static final int DIGITS = 3;

    private final Histogram latency = new Histogram(MOST_MICROS, DIGITS);
    private final Map<String, long[]> ends = new LinkedHashMap<>();
    private Histogram recent = new Histogram(MOST_MICROS, DIGITS);
    private long[] recentEnds = new long[End.values().length];
    private long asked;
    private long tries;
    private long wrong;
    private double worthAsked;
    private double worthServed;

    /** A first try was due. */
    synchronized void asked(Planned planned) {
        asked++;
        worthAsked += planned.requestClass().worth();
        ends.computeIfAbsent(planned.requestClass().name(), name -> new long[End.values().length]);
    }

    synchronized void tried() {
        tries++;
    }

    synchronized void wrong() {
        wrong++;
    }

    /** A first try is over. {@code nanos}: from its intended time, for those that were served. */
    synchronized void ended(Planned planned, End end, long nanos) {
        ends.get(planned.requestClass().name())[end.ordinal()]++;
        recentEnds[end.ordinal()]++;
        if (end == End.IN_TIME || end == End.LATE) {
            long micros = Math.min(MOST_MICROS, nanos / 1_000);
            latency.recordValue(micros);
            recent.recordValue(micros);
            worthServed += end == End.IN_TIME ? planned.requestClass().worth() : 0;
        }
    }

    /** What has ended since this was last asked. */
    public record Recent(long ended, long inTime, double p50Ms, double p99Ms) {}

    /** What has ended since this was last asked. */
    public synchronized Recent recent() {
        long all = 0;
        for (long count : recentEnds) {
            all += count;
        }
        Recent now =
                new Recent(all, recentEnds[End.IN_TIME.ordinal()], ms(recent, 50), ms(recent, 99));
        recent = new Histogram(MOST_MICROS, DIGITS);
        recentEnds = new long[End.values().length];
        return now;
    }

    private static double ms(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0
                ? 0
                : histogram.getValueAtPercentile(percentile) / 1e3;
    }

    /** First tries so far. */
    public synchronized long asked() {
        return asked;
    }

    /** Tries so far, clients' retries included. */
    public synchronized long tries() {
        return tries;
    }

    /** Answers that were not what was asked for. */
    public synchronized long wrongAnswers() {
        return wrong;
    }

    /** First tries that ended so. */
    public synchronized long count(End end) {
        return ends.values().stream().mapToLong(counts -> counts[end.ordinal()]).sum();
    }

    /** First tries of a class that ended so. */
    public synchronized Map<String, Map<String, Long>> byClass() {
        Map<String, Map<String, Long>> all = new LinkedHashMap<>();
        ends.forEach(
                (name, counts) -> {
                    Map<String, Long> one = new LinkedHashMap<>();
                    for (End end : End.values()) {
                        one.put(
                                end.name().toLowerCase(java.util.Locale.ROOT),
                                counts[end.ordinal()]);
                    }
                    all.put(name, one);
                });
        return all;
    }

    /** Worth answered in time over worth asked for. */
    public synchronized double service() {
        return worthAsked == 0 ? 0 : worthServed / worthAsked;
    }

    /** A percentile of served latencies, in milliseconds. */
    public synchronized double ms(double percentile) {
        return ms(latency, percentile);
    }
}
