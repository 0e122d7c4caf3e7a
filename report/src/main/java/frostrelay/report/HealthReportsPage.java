package frostrelay.report;

import frostrelay.report.Charts.DataPoint;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * How soon tiers of many sizes lower dead caches, and how well each balancer knows what all do: by
 * seconds from the death on.
 */
public final class HealthReportsPage {
    private final List<Map<String, Object>> scenarios;

    /** {@code scenarios}: figures as the emulator tells them. */
    public HealthReportsPage(List<Map<String, Object>> scenarios) {
        this.scenarios = scenarios;
    }

    /** The page. */
    public String html() {
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Judgements</title>"
                + "<style>body{font:14px sans-serif;margin:2em;color:#222}</style></head><body>\n<h1>Judgements and counts</h1>\n"
                + "<p>Seconds from the moment at which some caches fall silent.</p>\n"
                + Charts.curves(
                        "dead caches that are lowered, of a hundred, over all balancers",
                        "seconds",
                        "",
                        curves("loweredBy"))
                + '\n'
                + Charts.curves(
                        "error of each balancer's count of the tier's requests, mean, of a hundred",
                        "seconds",
                        "",
                        curves("errorBy"))
                + "\n</body></html>\n";
    }

    private Map<String, List<DataPoint>> curves(String name) {
        Map<String, List<DataPoint>> curves = new LinkedHashMap<>();
        int number = 0;
        for (Map<String, Object> scenario : scenarios) {
            List<DataPoint> marks = new ArrayList<>();
            int second = 0;
            for (Object value : (List<?>) scenario.get(name)) {
                marks.add(new DataPoint(second++, ((Number) value).doubleValue(), 0));
            }
            curves.put(
                    String.format(
                            Locale.ROOT,
                            "%s balancers, %.0f%% lost, day %d",
                            scenario.get("balancers"),
                            100 * ((Number) scenario.get("loss")).doubleValue(),
                            ++number),
                    marks);
        }
        return curves;
    }
}
