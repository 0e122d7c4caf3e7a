package frostrelay.report;

import frostrelay.report.Charts.DataPoint;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A page of plots over the seconds after caches fail: the share of failed caches that balancers
 * have down-weighted, and the error of each balancer's estimate of the total request count.
 */
public final class HealthReportsPage {
    private final List<Map<String, Object>> scenarios;

    /** Creates the page from the emulator's health report results. */
    public HealthReportsPage(List<Map<String, Object>> scenarios) {
        this.scenarios = scenarios;
    }

    /** Returns the page as HTML. */
    public String html() {
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Health reports</title>"
                + "<style>body{font:14px sans-serif;margin:2em;color:#222}</style></head><body>\n<h1>Health reports and request counts</h1>\n"
                + "<p>The x axis is the time in seconds since some caches stopped responding.</p>\n"
                + Charts.curves(
                        "failed caches that are down-weighted, over all balancers (%)",
                        "seconds", "", curves("loweredBy"))
                + '\n'
                + Charts.curves(
                        "mean error of a balancer's count of all requests (%)",
                        "seconds", "", curves("errorBy"))
                + "\n</body></html>\n";
    }

    private Map<String, List<DataPoint>> curves(String name) {
        Map<String, List<DataPoint>> curves = new LinkedHashMap<>();
        int number = 0;
        for (Map<String, Object> scenario : scenarios) {
            List<DataPoint> points = new ArrayList<>();
            int second = 0;
            for (Object value : (List<?>) scenario.get(name)) {
                points.add(new DataPoint(second++, ((Number) value).doubleValue(), 0));
            }
            curves.put(
                    String.format(
                            Locale.ROOT,
                            "%s balancers, %.0f%% lost, day %d",
                            scenario.get("balancers"),
                            100 * ((Number) scenario.get("loss")).doubleValue(),
                            ++number),
                    points);
        }
        return curves;
    }
}
