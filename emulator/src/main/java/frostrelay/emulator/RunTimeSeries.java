package frostrelay.emulator;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * Time series of a run with one value per second: counters and cache utilization. In large models
 * several caches share a row, so memory grows with the length of the run, not with the number of
 * machines.
 */
public final class RunTimeSeries {
    private static final int MAX_ROWS = 64;

    private final Map<String, LongSupplier> counters = new LinkedHashMap<>();
    private final Map<String, long[]> countsBySecond = new LinkedHashMap<>();
    private final Map<String, Long> previousTotals = new LinkedHashMap<>();
    private final double[] p50Millis;
    private final double[] p99Millis;
    private final List<SimCache> caches;
    private final List<SimBalancer> balancers;
    private final float[][] utilization;
    private final float[][] unservedFraction;
    private final long[] previousBusyNanos;
    private final long[] previousReceived;
    private final long[] previousServed;

    RunTimeSeries(int seconds, List<SimCache> caches, List<SimBalancer> balancers) {
        this.caches = caches;
        this.balancers = balancers;
        p50Millis = new double[seconds];
        p99Millis = new double[seconds];
        utilization = new float[Math.min(MAX_ROWS, caches.size())][seconds];
        unservedFraction = new float[Math.min(MAX_ROWS, balancers.size())][seconds];
        previousBusyNanos = new long[utilization.length];
        previousReceived = new long[unservedFraction.length];
        previousServed = new long[unservedFraction.length];
    }

    /** Adds a monotonic counter. */
    void addCounter(String name, LongSupplier counter) {
        counters.put(name, counter);
        countsBySecond.put(name, new long[p50Millis.length]);
        previousTotals.put(name, 0L);
    }

    /** Starts the series; counts up to now are excluded. */
    void start() {
        counters.forEach((name, counter) -> previousTotals.put(name, counter.getAsLong()));
        for (int i = 0; i < utilization.length; i++) {
            previousBusyNanos[i] = sum(row(caches, i, utilization.length), SimCache::worked);
        }
        for (int i = 0; i < unservedFraction.length; i++) {
            previousReceived[i] =
                    sum(row(balancers, i, unservedFraction.length), SimBalancer::receivedRequests);
            previousServed[i] =
                    sum(row(balancers, i, unservedFraction.length), SimBalancer::servedRequests);
        }
    }

    private static <T> List<T> row(List<T> all, int row, int rows) {
        return all.subList(
                (int) ((long) row * all.size() / rows),
                (int) ((long) (row + 1) * all.size() / rows));
    }

    private static <T> long sum(List<T> all, ToLongFunction<T> value) {
        return all.stream().mapToLong(value).sum();
    }

    /** Returns the total of a counter over the run. */
    long total(String name) {
        return Arrays.stream(countsBySecond.get(name)).sum();
    }

    /** Records the values of the second that has just ended. */
    void recordSecond(int second, RunStatistics statistics, int cores) {
        counters.forEach(
                (name, counter) -> {
                    long currentTotal = counter.getAsLong();
                    countsBySecond.get(name)[second] =
                            currentTotal - previousTotals.put(name, currentTotal);
                });
        p50Millis[second] = statistics.recentLatencyMillis(50);
        p99Millis[second] = statistics.recentLatencyMillis(99);
        statistics.resetRecent();
        for (int i = 0; i < utilization.length; i++) {
            List<SimCache> row = row(caches, i, utilization.length);
            long currentTotal = sum(row, SimCache::worked);
            utilization[i][second] =
                    (float) ((currentTotal - previousBusyNanos[i]) / 1e9 / cores / row.size());
            previousBusyNanos[i] = currentTotal;
        }
        for (int i = 0; i < unservedFraction.length; i++) {
            List<SimBalancer> row = row(balancers, i, unservedFraction.length);
            long receivedTotal = sum(row, SimBalancer::receivedRequests);
            long servedTotal = sum(row, SimBalancer::servedRequests);
            // A request may be served in the second after its arrival, so the fraction served can
            // exceed 1.
            unservedFraction[i][second] =
                    receivedTotal == previousReceived[i]
                            ? 0
                            : Math.max(
                                    0,
                                    1
                                            - (servedTotal - previousServed[i])
                                                    / (float)
                                                            (receivedTotal - previousReceived[i]));
            previousReceived[i] = receivedTotal;
            previousServed[i] = servedTotal;
        }
    }

    /** Returns the counts per second by counter name. */
    public Map<String, long[]> counts() {
        Map<String, long[]> all = new LinkedHashMap<>();
        countsBySecond.forEach((name, counts) -> all.put(name, counts.clone()));
        return all;
    }

    /**
     * Returns the median latency of requests served in each second, in milliseconds; 0 if there
     * were none.
     */
    public double[] p50Millis() {
        return p50Millis.clone();
    }

    /**
     * Returns the 99th percentile latency of requests served in each second, in milliseconds; 0 if
     * there were none.
     */
    public double[] p99Millis() {
        return p99Millis.clone();
    }

    /** Returns core utilization in each second; each row covers one or several caches. */
    public float[][] utilization() {
        return copy(utilization);
    }

    /**
     * Returns the fraction of attempts received in each second that were not served; each row
     * covers one or several balancers.
     */
    public float[][] unservedFraction() {
        return copy(unservedFraction);
    }

    private static float[][] copy(float[][] rows) {
        return Arrays.stream(rows).map(float[]::clone).toArray(float[][]::new);
    }
}
