package frostrelay.report;

import frostrelay.report.Charts.DataPoint;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** How balancers that are behind come back: by seconds from the change on, a curve for each day. */
public final class StaleInstancesPage {
    private static final Map<String, String> PLOTS = new LinkedHashMap<>();

    static {
        PLOTS.put("behind", "balancers that act on the older list, of a hundred");
        PLOTS.put("aside", "balancers aside, of a hundred");
    }

    private final List<Map<String, Object>> scenarios;

    /** {@code scenarios}: figures as the emulator tells them. */
    public StaleInstancesPage(List<Map<String, Object>> scenarios) {
        this.scenarios = scenarios;
    }

    /** The page. */
    public String html() {
        StringBuilder body =
                new StringBuilder(
                        "<h1>Stragglers</h1>\n<p>Seconds from the moment at which the list changes. Calls are"
                                + " those out of turn, over what the watches of all make in calm: 2 is the bound.</p>\n");
        PLOTS.forEach(
                (name, title) ->
                        body.append(Charts.curves(title, "seconds", "", curves(name, false)))
                                .append('\n'));
        body.append(
                Charts.curves(
                        "calls of discovery out of turn in a second, over the calm rate",
                        "seconds",
                        "",
                        curves("asked", true)));
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Stragglers</title>"
                + "<style>body{font:14px sans-serif;margin:2em;color:#222}</style></head><body>\n"
                + body
                + "</body></html>\n";
    }

    private Map<String, List<DataPoint>> curves(String name, boolean calls) {
        Map<String, List<DataPoint>> curves = new LinkedHashMap<>();
        int number = 0;
        for (Map<String, Object> day : scenarios) {
            number++;
            double balancers = ((Number) day.get("balancers")).doubleValue();
            double calm = ((Number) day.get("calmCallsASecond")).doubleValue();
            List<DataPoint> marks = new ArrayList<>();
            double before = 0;
            int second = 0;
            for (Object value : (List<?>) day.get(name)) {
                double now = ((Number) value).doubleValue();
                marks.add(
                        new DataPoint(
                                second++,
                                calls ? (now - before) / calm : 100 * now / balancers,
                                0));
                before = now;
            }
            curves.put(
                    String.format(
                            Locale.ROOT,
                            "%.0f balancers, %.0f%% lost, day %d",
                            balancers,
                            100 * ((Number) day.get("loss")).doubleValue(),
                            number),
                    marks);
        }
        return curves;
    }
}
