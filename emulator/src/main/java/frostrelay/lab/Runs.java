package frostrelay.lab;

import frostrelay.emulator.Emulation;
import frostrelay.emulator.Emulation.Result;
import frostrelay.emulator.Plant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntConsumer;
import java.util.function.ToDoubleFunction;

/**
 * Repetitions of some plants with the same seeds, so that what differs between two plants differs by them and not by
 * chance. Results do not depend on how many threads there are.
 */
public final class Runs {
    private static final long SECOND = 1_000_000_000L;

    /** What is measured of each day, by name. */
    public static final Map<String, ToDoubleFunction<Result>> METRICS = metrics();

    private final List<Plant> plants;
    private final List<List<Result>> results = new ArrayList<>();

    private Runs(List<Plant> plants) {
        this.plants = plants;
    }

    private static Map<String, ToDoubleFunction<Result>> metrics() {
        Map<String, ToDoubleFunction<Result>> all = new LinkedHashMap<>();
        all.put("service", result -> result.figures().service());
        all.put("p50Ms", result -> result.figures().ms(50));
        all.put("p99Ms", result -> result.figures().ms(99));
        all.put("copyShare", Result::copyShare);
        all.put("hitShare", Result::hitShare);
        all.put("fetches", Result::fetches);
        all.put("originFalls", Result::falls);
        all.put("refusedShare", result -> result.figures().refused() / (double) result.figures().asked());
        all.put("failedShare", result -> result.figures().failed() / (double) result.figures().asked());
        return all;
    }

    /** Plays each plant with so many seeds, on so many threads. {@code told}: hears how many days are done. */
    public static Runs play(List<Plant> plants, int seeds, int threads, IntConsumer told) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            Runs runs = new Runs(List.copyOf(plants));
            List<List<Future<Result>>> days = new ArrayList<>();
            for (Plant plant : plants) {
                List<Future<Result>> one = new ArrayList<>();
                for (int i = 0; i < seeds; i++) {
                    Plant day = plant.seeded(plant.seed() + i);
                    one.add(pool.submit(() -> Emulation.play(day)));
                }
                days.add(one);
            }
            int done = 0;
            for (List<Future<Result>> one : days) {
                List<Result> played = new ArrayList<>();
                for (Future<Result> day : one) {
                    played.add(day.get());
                    told.accept(++done);
                }
                runs.results.add(played);
            }
            return runs;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a day could not be played", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** The days of a plant, in the order of their seeds. */
    public List<Result> days(int plant) {
        return List.copyOf(results.get(plant));
    }

    /** A metric over a plant's days. */
    public Interval of(int plant, ToDoubleFunction<Result> metric) {
        return Interval.of(results.get(plant).stream().mapToDouble(metric).toArray());
    }

    /** How much more a plant's days have of a metric than another's, day by day. */
    public Interval difference(int plant, int against, ToDoubleFunction<Result> metric) {
        double[] all = new double[results.get(plant).size()];
        for (int i = 0; i < all.length; i++) {
            all[i] = metric.applyAsDouble(results.get(plant).get(i))
                    - metric.applyAsDouble(results.get(against).get(i));
        }
        return Interval.of(all);
    }

    /**
     * Seconds from the end of the last fault until service is back, for each day; -1 where it does not come back. Empty
     * without faults.
     */
    public List<Integer> recoveries(int plant) {
        List<Plant.Fault> faults = plants.get(plant).faults();
        if (faults.isEmpty()) {
            return List.of();
        }
        int from = (int) (faults.stream().mapToLong(Plant.Fault::at).min().orElse(0) / SECOND);
        int end = (int) (faults.stream().mapToLong(fault -> fault.at() + fault.length()).max().orElse(0) / SECOND);
        return results.get(plant).stream().map(result -> result.recovery(from, end)).toList();
    }
}
