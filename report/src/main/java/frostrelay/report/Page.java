package frostrelay.report;

import frostrelay.experiment.Comparison;
import frostrelay.experiment.Interval;
import frostrelay.experiment.Metrics;
import frostrelay.experiment.ResultsFile.StoredResults;
import frostrelay.experiment.RunResult;

import org.apache.commons.text.StringEscapeUtils;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/** A report on one results file, as a self-contained HTML page or as Markdown. */
public final class Page {
    /** The number of points with per-second plots; more would make the page too long to read. */
    private static final int MAX_POINTS_DRAWN = 6;

    private static final int MAX_COLUMNS = 120;
    private static final List<String> SWEPT_METRICS =
            List.of("service", "afterwards", "recovery", "p99Ms", "copyShare", "hitShare");

    private final StoredResults results;

    /** Creates a report on results with at least one run. */
    public Page(StoredResults results) {
        this.results = results;
    }

    /** Returns the report as HTML with embedded SVG plots. */
    public String html() {
        StringBuilder body = new StringBuilder();
        body.append("<h1>")
                .append(escape(results.name()))
                .append("</h1>\n<p>")
                .append(results.allResults().size())
                .append(" days of ")
                .append(results.points().size())
                .append(" points; rules broken ")
                .append(results.allResults().stream().mapToLong(RunResult::violationCount).sum())
                .append(
                        " times. Values are means ± half the width of their 95% confidence interval.</p>\n");
        body.append(table());
        appendSweeps(body);
        body.append(differences());
        for (int point = 0; point < Math.min(MAX_POINTS_DRAWN, results.points().size()); point++) {
            appendScenario(body, point);
        }
        if (results.points().size() > MAX_POINTS_DRAWN) {
            body.append("<p>The days of the other ")
                    .append(results.points().size() - MAX_POINTS_DRAWN)
                    .append(" points are in the results file.</p>\n");
        }
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + escape(results.name())
                + "</title>\n<style>body{font:14px sans-serif;margin:2em auto;max-width:1100px;color:#222}"
                + "table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:3px 8px;"
                + "text-align:right}td:first-child,th:first-child{text-align:left}img{display:block;margin:8px 0;"
                + "max-width:100%}.wide{overflow-x:auto}</style></head><body>\n"
                + body
                + "</body></html>\n";
    }

    /** Returns the table of metrics and the faults as Markdown, without plots. */
    public String markdown() {
        StringBuilder text =
                new StringBuilder(
                        "# "
                                + results.name()
                                + "\n\n"
                                + results.allResults().size()
                                + " days of "
                                + results.points().size()
                                + " points; rules broken "
                                + results.allResults().stream()
                                        .mapToLong(RunResult::violationCount)
                                        .sum()
                                + " times.\n\n");
        List<String> names = metricNames();
        text.append("| point | days | ")
                .append(String.join(" | ", names))
                .append(" |\n|")
                .append(" --- |".repeat(names.size() + 2))
                .append('\n');
        for (int point = 0; point < results.points().size(); point++) {
            List<RunResult> scenarios = results.resultsOf(point);
            text.append("| ")
                    .append(results.points().get(point))
                    .append(" | ")
                    .append(scenarios.size())
                    .append(" | ")
                    .append(
                            String.join(
                                    " | ",
                                    names.stream().map(name -> cell(scenarios, name)).toList()))
                    .append(" |\n");
        }
        for (int point = 0; point < results.points().size(); point++) {
            if (!results.faults().get(point).isEmpty() && results.settings().get(point).isEmpty()) {
                text.append("\nFaults of ").append(results.points().get(point)).append(":\n\n");
                results.faults()
                        .get(point)
                        .forEach(fault -> text.append("- ").append(fault).append('\n'));
            }
        }
        return text.toString();
    }

    private List<String> metricNames() {
        return Metrics.NAMES.stream()
                .filter(
                        name ->
                                results.allResults().stream()
                                        .anyMatch(scenario -> scenario.metrics().containsKey(name)))
                .toList();
    }

    private static Interval interval(List<RunResult> scenarios, String name) {
        double[] values =
                scenarios.stream()
                        .filter(scenario -> scenario.metrics().containsKey(name))
                        .mapToDouble(scenario -> scenario.metrics().get(name))
                        .toArray();
        return values.length == 0 ? null : Interval.of(values);
    }

    private static String cell(List<RunResult> scenarios, String name) {
        Interval interval = interval(scenarios, name);
        return interval == null
                ? ""
                : number(interval.mean()) + " ± " + number(interval.halfWidth());
    }

    private static String number(double value) {
        return String.format(
                Locale.ROOT,
                Math.abs(value) >= 100 ? "%.0f" : Math.abs(value) >= 10 ? "%.1f" : "%.3f",
                value);
    }

    /** Returns the metrics of every point for output as JSON. */
    public Map<String, Object> figures() {
        Map<String, Object> points = new LinkedHashMap<>();
        for (int point = 0; point < results.points().size(); point++) {
            points.put(results.points().get(point), figures(results.resultsOf(point)));
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", results.name());
        all.put("points", points);
        return all;
    }

    private static Map<String, Object> figures(List<RunResult> scenarios) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("days", scenarios.size());
        all.put("asked", scenarios.stream().mapToLong(RunResult::requestCount).sum());
        all.put("ruleBreaks", scenarios.stream().mapToLong(RunResult::violationCount).sum());
        for (String name : Metrics.NAMES) {
            Interval interval = interval(scenarios, name);
            if (interval != null) {
                all.put(name, Map.of("mean", interval.mean(), "half", interval.halfWidth()));
            }
        }
        return all;
    }

    private String table() {
        StringBuilder text =
                new StringBuilder("<div class=\"wide\"><table><tr><th>point</th><th>days</th>");
        List<String> names = metricNames();
        names.forEach(name -> text.append("<th>").append(name).append("</th>"));
        text.append("</tr>\n");
        for (int point = 0; point < results.points().size(); point++) {
            List<RunResult> scenarios = results.resultsOf(point);
            text.append("<tr><td>")
                    .append(escape(results.points().get(point)))
                    .append("</td><td>")
                    .append(scenarios.size())
                    .append("</td>");
            names.forEach(
                    name -> text.append("<td>").append(cell(scenarios, name)).append("</td>"));
            text.append("</tr>\n");
        }
        return text.append("</table></div>\n").toString();
    }

    /**
     * Lists the significant differences between the first point and each other one. Returns an
     * empty text for a sweep or many points.
     */
    private String differences() {
        if (results.points().size() < 2
                || results.points().size() > 2 * MAX_POINTS_DRAWN
                || !results.settings().get(0).isEmpty()) {
            return "";
        }
        StringBuilder text =
                new StringBuilder(
                        "<h2>Significant differences from "
                                + escape(results.points().get(0))
                                + "</h2>\n<ul>\n");
        for (int point = 1; point < results.points().size(); point++) {
            for (Comparison.Difference one : Comparison.of(results, 0, point)) {
                if (one.isSignificant()) {
                    text.append("<li>")
                            .append(escape(results.points().get(point)))
                            .append(": ")
                            .append(one.metric())
                            .append(' ')
                            .append(one.difference().mean() > 0 ? "+" : "")
                            .append(number(one.difference().mean()))
                            .append(" ± ")
                            .append(number(one.difference().halfWidth()))
                            .append("</li>\n");
                }
            }
        }
        return text.append("</ul>\n").toString();
    }

    private void appendSweeps(StringBuilder body) {
        List<String> keys = new ArrayList<>(results.settings().get(0).keySet());
        if (keys.isEmpty() || keys.size() > 2) {
            return;
        }
        List<String> shown = SWEPT_METRICS.stream().filter(metricNames()::contains).toList();
        if (keys.size() == 2) {
            shown.forEach(
                    name -> body.append(image(heatMap(name, keys.get(0), keys.get(1)), name)));
            return;
        }
        List<String> values = results.settings().stream().map(one -> one.get(keys.get(0))).toList();
        for (String name : shown) {
            List<Charts.DataPoint> dataPoints = new ArrayList<>();
            for (int point = 0; point < values.size(); point++) {
                Interval interval = interval(results.resultsOf(point), name);
                if (interval != null) {
                    dataPoints.add(
                            new Charts.DataPoint(
                                    position(values, point),
                                    interval.mean(),
                                    interval.halfWidth()));
                }
            }
            body.append(
                    image(
                            Charts.curves(
                                    name + " by " + keys.get(0),
                                    keys.get(0),
                                    name,
                                    Map.of(name, dataPoints)),
                            name));
        }
    }

    /**
     * Returns the number in a swept value if all values have the same unit, otherwise the index of
     * the point.
     */
    private static double position(List<String> values, int point) {
        Set<String> units = new LinkedHashSet<>();
        values.forEach(value -> units.add(value.replaceFirst("^[0-9.]+", "")));
        String number = values.get(point).replaceFirst("[^0-9.].*$", "");
        return units.size() == 1 && !number.isEmpty() ? Double.parseDouble(number) : point;
    }

    private String heatMap(String metric, String xLabel, String yLabel) {
        List<String> columns =
                results.settings().stream().map(one -> one.get(xLabel)).distinct().toList();
        List<String> rows =
                results.settings().stream().map(one -> one.get(yLabel)).distinct().toList();
        double[][] cells = new double[rows.size()][columns.size()];
        for (double[] row : cells) {
            Arrays.fill(row, Double.NaN);
        }
        for (int point = 0; point < results.points().size(); point++) {
            Interval interval = interval(results.resultsOf(point), metric);
            if (interval != null) {
                cells[rows.indexOf(results.settings().get(point).get(yLabel))][
                                columns.indexOf(results.settings().get(point).get(xLabel))] =
                        interval.mean();
            }
        }
        double[] all =
                Arrays.stream(cells)
                        .flatMapToDouble(Arrays::stream)
                        .filter(value -> !Double.isNaN(value))
                        .toArray();
        return Charts.heatMap(
                metric,
                xLabel,
                yLabel,
                columns,
                rows,
                cells,
                Arrays.stream(all).min().orElse(0),
                Arrays.stream(all).max().orElse(1));
    }

    private void appendScenario(StringBuilder body, int point) {
        RunResult scenario =
                results.resultsOf(point).stream()
                        .filter(one -> !one.timeSeries().isEmpty())
                        .findFirst()
                        .orElse(null);
        if (scenario == null) {
            return;
        }
        body.append("<h2>")
                .append(escape(results.points().get(point)))
                .append(": the day of seed ")
                .append(scenario.seed())
                .append("</h2>\n");
        List<String> faults = results.faults().get(point);
        if (!faults.isEmpty()) {
            body.append("<ul>");
            faults.forEach(fault -> body.append("<li>").append(escape(fault)).append("</li>"));
            body.append("</ul>\n");
        }
        List<double[]> bands =
                results.faultRanges().get(point).stream()
                        .map(span -> new double[] {span.get(0), span.get(1)})
                        .toList();
        Map<String, List<Double>> timeline = scenario.timeSeries();
        body.append(
                image(
                        Charts.lines(
                                "First attempts by result",
                                "per second",
                                selectSeries(timeline, "asked", "inTime", "refused", "failed"),
                                bands,
                                false),
                        "ends"));
        body.append(
                image(
                        Charts.lines(
                                "Latency of served requests",
                                "ms (log)",
                                selectSeries(timeline, "p50Ms", "p99Ms"),
                                bands,
                                true),
                        "latency"));
        body.append(
                image(
                        Charts.lines(
                                "Hit share",
                                "share",
                                Map.of(
                                        "hit share",
                                        ratio(timeline.get("hits"), timeline.get("misses"))),
                                bands,
                                false),
                        "hit share"));
        body.append(
                image(
                        Charts.lines(
                                "Attempts, copies and origin fetches",
                                "per second",
                                selectSeries(timeline, "tries", "copies", "fetches"),
                                bands,
                                false),
                        "copies and fetches"));
        if (!scenario.cacheLoad().isEmpty()) {
            body.append(
                    image(
                            heatMapOverTime(
                                    "Load of each cache (fraction of its cores)",
                                    "cache",
                                    scenario.cacheLoad()),
                            "load"));
        }
        if (scenario.unservedByBalancer().size() > 1) {
            body.append(
                    image(
                            heatMapOverTime(
                                    "Unserved attempts by balancer (fraction of those received)",
                                    "balancer",
                                    scenario.unservedByBalancer()),
                            "unserved"));
        }
    }

    private static String heatMapOverTime(String title, String yLabel, List<List<Double>> load) {
        int seconds = load.get(0).size();
        int step = (seconds + MAX_COLUMNS - 1) / MAX_COLUMNS;
        int columns = (seconds + step - 1) / step;
        double[][] cells = new double[load.size()][columns];
        for (int row = 0; row < load.size(); row++) {
            for (int column = 0; column < columns; column++) {
                cells[row][column] =
                        load
                                .get(row)
                                .subList(column * step, Math.min(seconds, (column + 1) * step))
                                .stream()
                                .mapToDouble(Double::doubleValue)
                                .average()
                                .orElse(0);
            }
        }
        return Charts.heatMap(
                title,
                "seconds",
                yLabel,
                IntStream.range(0, columns)
                        .mapToObj(column -> String.valueOf(column * step))
                        .toList(),
                IntStream.range(0, load.size()).mapToObj(String::valueOf).toList(),
                cells,
                0,
                1);
    }

    private static Map<String, List<Double>> selectSeries(
            Map<String, List<Double>> timeline, String... names) {
        Map<String, List<Double>> all = new LinkedHashMap<>();
        for (String name : names) {
            all.put(name, timeline.get(name));
        }
        return all;
    }

    private static List<Double> ratio(List<Double> hits, List<Double> misses) {
        return IntStream.range(0, hits.size())
                .mapToObj(
                        i ->
                                hits.get(i) + misses.get(i) == 0
                                        ? 0
                                        : hits.get(i) / (hits.get(i) + misses.get(i)))
                .toList();
    }

    /**
     * Embeds each SVG as a separate image, so that element IDs of different plots cannot collide.
     */
    private static String image(String svg, String altText) {
        return "<img alt=\""
                + escape(altText)
                + "\" src=\"data:image/svg+xml;base64,"
                + Base64.getEncoder().encodeToString(svg.getBytes(StandardCharsets.UTF_8))
                + "\">\n";
    }

    private static String escape(String text) {
        return StringEscapeUtils.escapeHtml4(text);
    }
}
