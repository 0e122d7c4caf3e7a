package frostrelay.report;

import frostrelay.report.Charts.DataPoint;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A page of plots of how stale balancers catch up in the seconds after the endpoint list changes,
 * with one curve per run.
 */
public final class StaleInstancesPage {
    private static final Map<String, String> PLOTS = new LinkedHashMap<>();

    static {
        PLOTS.put("behind", "balancers that use the older endpoint list (%)");
        PLOTS.put("aside", "balancers out of service because they are stale (%)");
    }

    private final List<Map<String, Object>> scenarios;

    /** Creates the page from the emulator's stale instance results. */
    public StaleInstancesPage(List<Map<String, Object>> scenarios) {
        this.scenarios = scenarios;
    }

    /** Returns the page as HTML. */
    public String html() {
        StringBuilder body =
                new StringBuilder(
                        "<h1>Stale instances</h1>\n<p>The x axis is the time in seconds since the endpoint list changed."
                                + " Unscheduled discovery calls are relative to the rate of regular calls of all balancers; the limit is 2.</p>\n");
        PLOTS.forEach(
                (name, title) ->
                        body.append(Charts.curves(title, "seconds", "", curves(name, false)))
                                .append('\n'));
        body.append(
                Charts.curves(
                        "unscheduled discovery calls per second, relative to the regular rate",
                        "seconds",
                        "",
                        curves("asked", true)));
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Stale instances</title>"
                + "<style>body{font:14px sans-serif;margin:2em;color:#222}</style></head><body>\n"
                + body
                + "</body></html>\n";
    }

    private Map<String, List<DataPoint>> curves(String name, boolean calls) {
        Map<String, List<DataPoint>> curves = new LinkedHashMap<>();
        int number = 0;
        for (Map<String, Object> scenario : scenarios) {
            number++;
            double balancers = ((Number) scenario.get("balancers")).doubleValue();
            double regularRate = ((Number) scenario.get("calmCallsASecond")).doubleValue();
            List<DataPoint> points = new ArrayList<>();
            double before = 0;
            int second = 0;
            for (Object value : (List<?>) scenario.get(name)) {
                double now = ((Number) value).doubleValue();
                points.add(
                        new DataPoint(
                                second++,
                                calls ? (now - before) / regularRate : 100 * now / balancers,
                                0));
                before = now;
            }
            curves.put(
                    String.format(
                            Locale.ROOT,
                            "%.0f balancers, %.0f%% lost, day %d",
                            balancers,
                            100 * ((Number) scenario.get("loss")).doubleValue(),
                            number),
                    points);
        }
        return curves;
    }
}
