package frostrelay.report;

import frostrelay.report.Charts.DataPoint;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * How talk between balancers fares at many sizes, as one page with plots: a curve for each part of
 * datagrams lost.
 */
public final class GossipPage {
    private static final Map<String, String> PLOTS = new LinkedHashMap<>();

    static {
        PLOTS.put("knownP50Ms", "a change is known after, median (ms)");
        PLOTS.put("knownP99Ms", "a change is known after, 99th percentile (ms)");
        PLOTS.put("falseSuspicionsAnHourEach", "living balancers suspected, an hour and balancer");
        PLOTS.put("bytesASecondEach", "bytes a second each, in quiet");
        PLOTS.put("mostBytesInASecond", "most bytes of one in any second of the clock");
    }

    private final List<Map<String, Object>> scenarios;

    /** {@code scenarios}: figures as the emulator tells them, of several seeds each. */
    public GossipPage(List<Map<String, Object>> scenarios) {
        this.scenarios = scenarios;
    }

    /** The page. */
    public String html() {
        StringBuilder body =
                new StringBuilder(
                        "<h1>Talk between balancers</h1>\n<p>Means over seeds with half of their range as a"
                                + " band; across: balancers, as powers of two.</p>\n");
        PLOTS.forEach((name, title) -> body.append(plot(name, title)).append('\n'));
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Talk between balancers</title>"
                + "<style>body{font:14px sans-serif;margin:2em;color:#222}</style></head><body>\n"
                + body
                + "</body></html>\n";
    }

    private String plot(String name, String title) {
        Map<String, List<DataPoint>> curves = new LinkedHashMap<>();
        Map<Double, TreeMap<Integer, List<Double>>> all = new TreeMap<>();
        for (Map<String, Object> scenario : scenarios) {
            if (scenario.get(name) != null) {
                all.computeIfAbsent(
                                ((Number) scenario.get("loss")).doubleValue(),
                                loss -> new TreeMap<>())
                        .computeIfAbsent(
                                ((Number) scenario.get("balancers")).intValue(),
                                size -> new ArrayList<>())
                        .add(((Number) scenario.get(name)).doubleValue());
            }
        }
        all.forEach(
                (loss, sizes) -> {
                    List<DataPoint> marks = new ArrayList<>();
                    sizes.forEach(
                            (size, values) -> {
                                double min =
                                        values.stream()
                                                .mapToDouble(Double::doubleValue)
                                                .min()
                                                .orElse(0);
                                double max =
                                        values.stream()
                                                .mapToDouble(Double::doubleValue)
                                                .max()
                                                .orElse(0);
                                double mean =
                                        values.stream()
                                                .mapToDouble(Double::doubleValue)
                                                .average()
                                                .orElse(0);
                                marks.add(
                                        new DataPoint(
                                                Math.log(size) / Math.log(2),
                                                mean,
                                                (max - min) / 2));
                            });
                    curves.put(String.format(Locale.ROOT, "%.0f%% lost", loss * 100), marks);
                });
        return Charts.curves(title, "log2 of balancers", "", curves);
    }
}
