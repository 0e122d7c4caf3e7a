package frostrelay.experiment;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.emulator.Emulation;
import frostrelay.emulator.RunTimeSeries;
import frostrelay.emulator.SystemModel;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The stored result of a simulation run; it does not depend on the machine. {@code timeSeries} has
 * a value per second for each name. A row of {@code cacheLoad} covers one or more caches, and a row
 * of {@code unservedByBalancer} one or more balancers. All three are empty if they were not
 * recorded.
 */
public record RunResult(
        int point,
        long seed,
        long requestCount,
        long violationCount,
        Map<String, Double> metrics,
        Map<String, List<Double>> timeSeries,
        List<List<Double>> cacheLoad,
        List<List<Double>> unservedByBalancer) {
    private static final double ROUNDING_SCALE = 1e6;

    /** Simulates one run of a point. */
    static RunResult simulate(int point, SystemModel model, boolean withTimeSeries) {
        Emulation.Result result = Emulation.simulate(model);
        Map<String, Double> metrics = new LinkedHashMap<>();
        Metrics.of(model, result).forEach((name, value) -> metrics.put(name, round(value)));
        Map<String, List<Double>> timeSeries = new LinkedHashMap<>();
        List<List<Double>> cacheLoad = List.of();
        List<List<Double>> unservedByBalancer = List.of();
        if (withTimeSeries) {
            RunTimeSeries recorded = result.timeSeries();
            recorded.counts()
                    .forEach(
                            (name, counts) ->
                                    timeSeries.put(
                                            name,
                                            Arrays.stream(counts)
                                                    .mapToObj(count -> (double) count)
                                                    .toList()));
            timeSeries.put("p50Ms", Arrays.stream(recorded.p50Millis()).boxed().toList());
            timeSeries.put("p99Ms", Arrays.stream(recorded.p99Millis()).boxed().toList());
            cacheLoad = rows(recorded.utilization());
            unservedByBalancer = rows(recorded.unservedFraction());
        }
        return new RunResult(
                point,
                model.seed(),
                result.statistics().asked(),
                result.violationCount(),
                metrics,
                timeSeries,
                cacheLoad,
                unservedByBalancer);
    }

    private static List<List<Double>> rows(float[][] rows) {
        List<List<Double>> all = new ArrayList<>();
        for (float[] row : rows) {
            List<Double> one = new ArrayList<>();
            for (float value : row) {
                one.add(Math.round(value * 1e3) / 1e3);
            }
            all.add(one);
        }
        return all;
    }

    private static double round(double value) {
        return Math.rint(value * ROUNDING_SCALE) / ROUNDING_SCALE;
    }

    /** Returns the result as one line of JSON. */
    String toJson() throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("point", point);
        all.put("seed", seed);
        all.put("asked", requestCount);
        all.put("breaks", violationCount);
        all.put("metrics", metrics);
        if (!timeSeries.isEmpty()) {
            all.put("course", timeSeries);
            all.put("load", cacheLoad);
            all.put("unserved", unservedByBalancer);
        }
        return JSON.std.asString(all);
    }

    /** Parses a line; throws {@link IOException} or {@link RuntimeException} if it is invalid. */
    static RunResult parse(String line) throws IOException {
        Map<String, Object> all = JSON.std.mapFrom(line);
        Map<String, Double> metrics = new LinkedHashMap<>();
        map(all.get("metrics"))
                .forEach((name, value) -> metrics.put(name, ((Number) value).doubleValue()));
        Map<String, List<Double>> timeSeries = new LinkedHashMap<>();
        map(all.getOrDefault("course", Map.of()))
                .forEach((name, values) -> timeSeries.put(name, numbers(values)));
        return new RunResult(
                ((Number) all.get("point")).intValue(),
                ((Number) all.get("seed")).longValue(),
                ((Number) all.get("asked")).longValue(),
                ((Number) all.get("breaks")).longValue(),
                metrics,
                timeSeries,
                rows(all, "load"),
                rows(all, "unserved"));
    }

    private static List<List<Double>> rows(Map<String, Object> all, String name) {
        return ((List<?>) all.getOrDefault(name, List.of()))
                .stream().map(RunResult::numbers).toList();
    }

    private static Map<String, Object> map(Object value) {
        Map<String, Object> all = new LinkedHashMap<>();
        ((Map<?, ?>) value).forEach((name, one) -> all.put((String) name, one));
        return all;
    }

    static List<Double> numbers(Object values) {
        return ((List<?>) values).stream().map(value -> ((Number) value).doubleValue()).toList();
    }
}
