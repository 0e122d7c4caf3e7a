package frostrelay.report;

import frostrelay.report.Charts.DataPoint;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A page of plots of gossip performance by the number of balancers, with one curve per datagram
 * loss rate.
 */
public final class GossipPage {
    private static final Map<String, String> PLOTS = new LinkedHashMap<>();

    static {
        PLOTS.put("knownP50Ms", "propagation time of a change, median (ms)");
        PLOTS.put("knownP99Ms", "propagation time of a change, 99th percentile (ms)");
        PLOTS.put("falseSuspicionsAnHourEach", "false suspicions per balancer and hour");
        PLOTS.put("bytesASecondEach", "bytes per second and balancer without changes");
        PLOTS.put("mostBytesInASecond", "most bytes sent by one balancer in a calendar second");
    }

    private final List<Map<String, Object>> scenarios;

    /** Creates the page from the emulator's gossip results, with several seeds per scenario. */
    public GossipPage(List<Map<String, Object>> scenarios) {
        this.scenarios = scenarios;
    }

    /** Returns the page as HTML. */
    public String html() {
        StringBuilder body =
                new StringBuilder(
                        "<h1>Gossip between balancers</h1>\n<p>Means over seeds; the band is half of their range on"
                                + " each side. The x axis is the log2 of the number of balancers.</p>\n");
        PLOTS.forEach((name, title) -> body.append(plot(name, title)).append('\n'));
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Gossip between balancers</title>"
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
                    List<DataPoint> points = new ArrayList<>();
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
                                points.add(
                                        new DataPoint(
                                                Math.log(size) / Math.log(2),
                                                mean,
                                                (max - min) / 2));
                            });
                    curves.put(String.format(Locale.ROOT, "%.0f%% lost", loss * 100), points);
                });
        return Charts.curves(title, "log2 of the number of balancers", "", curves);
    }
}
