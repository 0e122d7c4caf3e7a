package frostrelay.emulator;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * How a day went, second by second: what was counted in each, and how busy caches were. Many caches
 * share a row, so that what is kept grows with the day's length and not with the plant.
 */
public final class Course {
    private static final int MOST_ROWS = 64;

    private final Map<String, LongSupplier> counters = new LinkedHashMap<>();
    private final Map<String, long[]> bySecond = new LinkedHashMap<>();
    private final Map<String, Long> before = new LinkedHashMap<>();
    private final double[] p50;
    private final double[] p99;
    private final List<SimCache> caches;
    private final List<SimBalancer> balancers;
    private final float[][] load;
    private final float[][] unserved;
    private final long[] worked;
    private final long[] taken;
    private final long[] served;

    Course(int seconds, List<SimCache> caches, List<SimBalancer> balancers) {
        this.caches = caches;
        this.balancers = balancers;
        p50 = new double[seconds];
        p99 = new double[seconds];
        load = new float[Math.min(MOST_ROWS, caches.size())][seconds];
        unserved = new float[Math.min(MOST_ROWS, balancers.size())][seconds];
        worked = new long[load.length];
        taken = new long[unserved.length];
        served = new long[unserved.length];
    }

    /** A number that only grows. */
    void count(String name, LongSupplier counter) {
        counters.put(name, counter);
        bySecond.put(name, new long[p50.length]);
        before.put(name, 0L);
    }

    /** What was counted so far belongs to no second. */
    void begin() {
        counters.forEach((name, counter) -> before.put(name, counter.getAsLong()));
        for (int i = 0; i < load.length; i++) {
            worked[i] = sum(row(caches, i, load.length), SimCache::worked);
        }
        for (int i = 0; i < unserved.length; i++) {
            taken[i] = sum(row(balancers, i, unserved.length), SimBalancer::taken);
            served[i] = sum(row(balancers, i, unserved.length), SimBalancer::served);
        }
    }

    private static <T> List<T> row(List<T> all, int row, int rows) {
        return all.subList(
                (int) ((long) row * all.size() / rows),
                (int) ((long) (row + 1) * all.size() / rows));
    }

    private static <T> long sum(List<T> all, ToLongFunction<T> one) {
        return all.stream().mapToLong(one).sum();
    }

    /** What a day came to under a name. */
    long total(String name) {
        return Arrays.stream(bySecond.get(name)).sum();
    }

    /** A second has passed. */
    void sample(int second, Figures figures, int cores) {
        counters.forEach(
                (name, counter) -> {
                    long all = counter.getAsLong();
                    bySecond.get(name)[second] = all - before.put(name, all);
                });
        p50[second] = figures.lately(50);
        p99[second] = figures.lately(99);
        figures.forgetLately();
        for (int i = 0; i < load.length; i++) {
            List<SimCache> row = row(caches, i, load.length);
            long all = sum(row, SimCache::worked);
            load[i][second] = (float) ((all - worked[i]) / 1e9 / cores / row.size());
            worked[i] = all;
        }
        for (int i = 0; i < unserved.length; i++) {
            List<SimBalancer> row = row(balancers, i, unserved.length);
            long came = sum(row, SimBalancer::taken);
            long good = sum(row, SimBalancer::served);
            // What came in one second may be served in the next: more than all is none.
            unserved[i][second] =
                    came == taken[i]
                            ? 0
                            : Math.max(0, 1 - (good - served[i]) / (float) (came - taken[i]));
            taken[i] = came;
            served[i] = good;
        }
    }

    /** What was counted in each second, by name. */
    public Map<String, long[]> counts() {
        Map<String, long[]> all = new LinkedHashMap<>();
        bySecond.forEach((name, counts) -> all.put(name, counts.clone()));
        return all;
    }

    /** The median of latencies served in each second, in milliseconds; 0 where there were none. */
    public double[] p50() {
        return p50.clone();
    }

    /** Likewise the 99th percentile. */
    public double[] p99() {
        return p99.clone();
    }

    /**
     * Work of caches' cores in each second as a part of what they can do; a row for one cache or
     * for several.
     */
    public float[][] load() {
        return copy(load);
    }

    /**
     * The part of tries that came in each second and were not served; a row for one balancer or for
     * several.
     */
    public float[][] unserved() {
        return copy(unserved);
    }

    private static float[][] copy(float[][] rows) {
        return Arrays.stream(rows).map(float[]::clone).toArray(float[][]::new);
    }
}
