package frostrelay.lab;

import com.fasterxml.jackson.jr.ob.JSON;

import frostrelay.emulator.Course;
import frostrelay.emulator.Emulation;
import frostrelay.emulator.Plant;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is kept of a day that was played: nothing in it depends on the machine. {@code course}:
 * series by name, a value for each second; {@code load}, a row for one cache or for several, and
 * {@code unserved}, likewise of balancers; all empty where they are not kept.
 */
public record Day(
        int point,
        long seed,
        long asked,
        long breaks,
        Map<String, Double> metrics,
        Map<String, List<Double>> course,
        List<List<Double>> load,
        List<List<Double>> unserved) {
    private static final double DIGITS = 1e6;

    /** Plays a day of a point. */
    static Day play(int point, Plant plant, boolean withCourse) {
        Emulation.Result result = Emulation.play(plant);
        Map<String, Double> metrics = new LinkedHashMap<>();
        Metrics.of(plant, result).forEach((name, value) -> metrics.put(name, round(value)));
        Map<String, List<Double>> course = new LinkedHashMap<>();
        List<List<Double>> load = List.of();
        List<List<Double>> unserved = List.of();
        if (withCourse) {
            Course went = result.course();
            went.counts()
                    .forEach(
                            (name, counts) ->
                                    course.put(
                                            name,
                                            Arrays.stream(counts)
                                                    .mapToObj(count -> (double) count)
                                                    .toList()));
            course.put("p50Ms", Arrays.stream(went.p50()).boxed().toList());
            course.put("p99Ms", Arrays.stream(went.p99()).boxed().toList());
            load = rows(went.load());
            unserved = rows(went.unserved());
        }
        return new Day(
                point,
                plant.seed(),
                result.figures().asked(),
                result.breaks(),
                metrics,
                course,
                load,
                unserved);
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
        return Math.rint(value * DIGITS) / DIGITS;
    }

    /** As one line. */
    String json() throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("point", point);
        all.put("seed", seed);
        all.put("asked", asked);
        all.put("breaks", breaks);
        all.put("metrics", metrics);
        if (!course.isEmpty()) {
            all.put("course", course);
            all.put("load", load);
            all.put("unserved", unserved);
        }
        return JSON.std.asString(all);
    }

    /** From a line; throws {@link IOException} or {@link RuntimeException} for anything else. */
    static Day of(String line) throws IOException {
        Map<String, Object> all = JSON.std.mapFrom(line);
        Map<String, Double> metrics = new LinkedHashMap<>();
        map(all.get("metrics"))
                .forEach((name, value) -> metrics.put(name, ((Number) value).doubleValue()));
        Map<String, List<Double>> course = new LinkedHashMap<>();
        map(all.getOrDefault("course", Map.of()))
                .forEach((name, values) -> course.put(name, numbers(values)));
        return new Day(
                ((Number) all.get("point")).intValue(),
                ((Number) all.get("seed")).longValue(),
                ((Number) all.get("asked")).longValue(),
                ((Number) all.get("breaks")).longValue(),
                metrics,
                course,
                rows(all, "load"),
                rows(all, "unserved"));
    }

    private static List<List<Double>> rows(Map<String, Object> all, String name) {
        return ((List<?>) all.getOrDefault(name, List.of())).stream().map(Day::numbers).toList();
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
