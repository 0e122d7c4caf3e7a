package frostrelay.report;

import frostrelay.lab.Comparison;
import frostrelay.lab.Day;
import frostrelay.lab.Interval;
import frostrelay.lab.Metrics;
import frostrelay.lab.ResultsFile.Held;

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

/** What a file of results says, as one HTML page that needs nothing beside it, and as Markdown. */
public final class Page {
    /** Points whose days are drawn second by second: a page with more is not looked at. */
    private static final int MOST_DRAWN = 6;

    private static final int MOST_COLUMNS = 120;
    private static final List<String> SWEPT =
            List.of("service", "afterwards", "recovery", "p99Ms", "copyShare", "hitShare");

    private final Held held;

    /** Of results with at least one day. */
    public Page(Held held) {
        this.held = held;
    }

    /** The page; plots are SVG images within it. */
    public String html() {
        StringBuilder body = new StringBuilder();
        body.append("<h1>")
                .append(escape(held.name()))
                .append("</h1>\n<p>")
                .append(held.days().size())
                .append(" days of ")
                .append(held.points().size())
                .append(" points; rules broken ")
                .append(held.days().stream().mapToLong(Day::breaks).sum())
                .append(" times. Values are means with half of their 95% interval.</p>\n");
        body.append(table());
        sweeps(body);
        body.append(differences());
        for (int point = 0; point < Math.min(MOST_DRAWN, held.points().size()); point++) {
            day(body, point);
        }
        if (held.points().size() > MOST_DRAWN) {
            body.append("<p>The days of the other ")
                    .append(held.points().size() - MOST_DRAWN)
                    .append(" points are in the results file.</p>\n");
        }
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + escape(held.name())
                + "</title>\n<style>body{font:14px sans-serif;margin:2em auto;max-width:1100px;color:#222}"
                + "table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:3px 8px;"
                + "text-align:right}td:first-child,th:first-child{text-align:left}img{display:block;margin:8px 0;"
                + "max-width:100%}.wide{overflow-x:auto}</style></head><body>\n"
                + body
                + "</body></html>\n";
    }

    /** The tables alone. */
    public String markdown() {
        StringBuilder text =
                new StringBuilder(
                        "# "
                                + held.name()
                                + "\n\n"
                                + held.days().size()
                                + " days of "
                                + held.points().size()
                                + " points; rules broken "
                                + held.days().stream().mapToLong(Day::breaks).sum()
                                + " times.\n\n");
        List<String> names = names();
        text.append("| point | days | ")
                .append(String.join(" | ", names))
                .append(" |\n|")
                .append(" --- |".repeat(names.size() + 2))
                .append('\n');
        for (int point = 0; point < held.points().size(); point++) {
            List<Day> days = held.of(point);
            text.append("| ")
                    .append(held.points().get(point))
                    .append(" | ")
                    .append(days.size())
                    .append(" | ")
                    .append(
                            String.join(
                                    " | ", names.stream().map(name -> cell(days, name)).toList()))
                    .append(" |\n");
        }
        for (int point = 0; point < held.points().size(); point++) {
            if (!held.faults().get(point).isEmpty() && held.settings().get(point).isEmpty()) {
                text.append("\nFaults of ").append(held.points().get(point)).append(":\n\n");
                held.faults()
                        .get(point)
                        .forEach(fault -> text.append("- ").append(fault).append('\n'));
            }
        }
        return text.toString();
    }

    private List<String> names() {
        return Metrics.NAMES.stream()
                .filter(
                        name ->
                                held.days().stream()
                                        .anyMatch(day -> day.metrics().containsKey(name)))
                .toList();
    }

    private static Interval interval(List<Day> days, String name) {
        double[] values =
                days.stream()
                        .filter(day -> day.metrics().containsKey(name))
                        .mapToDouble(day -> day.metrics().get(name))
                        .toArray();
        return values.length == 0 ? null : Interval.of(values);
    }

    private static String cell(List<Day> days, String name) {
        Interval one = interval(days, name);
        return one == null ? "" : number(one.mean()) + " ± " + number(one.half());
    }

    private static String number(double value) {
        return String.format(
                Locale.ROOT,
                Math.abs(value) >= 100 ? "%.0f" : Math.abs(value) >= 10 ? "%.1f" : "%.3f",
                value);
    }

    /** The figures of every point, for a machine. */
    public Map<String, Object> figures() {
        Map<String, Object> points = new LinkedHashMap<>();
        for (int point = 0; point < held.points().size(); point++) {
            points.put(held.points().get(point), figures(held.of(point)));
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", held.name());
        all.put("points", points);
        return all;
    }

    private static Map<String, Object> figures(List<Day> days) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("days", days.size());
        all.put("asked", days.stream().mapToLong(Day::asked).sum());
        all.put("ruleBreaks", days.stream().mapToLong(Day::breaks).sum());
        for (String name : Metrics.NAMES) {
            Interval one = interval(days, name);
            if (one != null) {
                all.put(name, Map.of("mean", one.mean(), "half", one.half()));
            }
        }
        return all;
    }

    private String table() {
        StringBuilder text =
                new StringBuilder("<div class=\"wide\"><table><tr><th>point</th><th>days</th>");
        List<String> names = names();
        names.forEach(name -> text.append("<th>").append(name).append("</th>"));
        text.append("</tr>\n");
        for (int point = 0; point < held.points().size(); point++) {
            List<Day> days = held.of(point);
            text.append("<tr><td>")
                    .append(escape(held.points().get(point)))
                    .append("</td><td>")
                    .append(days.size())
                    .append("</td>");
            names.forEach(name -> text.append("<td>").append(cell(days, name)).append("</td>"));
            text.append("</tr>\n");
        }
        return text.append("</table></div>\n").toString();
    }

    /** Other points against the first, where they are few and not a sweep. */
    private String differences() {
        if (held.points().size() < 2
                || held.points().size() > 2 * MOST_DRAWN
                || !held.settings().get(0).isEmpty()) {
            return "";
        }
        StringBuilder text =
                new StringBuilder(
                        "<h2>Beyond chance, against "
                                + escape(held.points().get(0))
                                + "</h2>\n<ul>\n");
        for (int point = 1; point < held.points().size(); point++) {
            for (Comparison.Difference one : Comparison.of(held, 0, point)) {
                if (one.beyondChance()) {
                    text.append("<li>")
                            .append(escape(held.points().get(point)))
                            .append(": ")
                            .append(one.metric())
                            .append(' ')
                            .append(one.apart().mean() > 0 ? "+" : "")
                            .append(number(one.apart().mean()))
                            .append(" ± ")
                            .append(number(one.apart().half()))
                            .append("</li>\n");
                }
            }
        }
        return text.append("</ul>\n").toString();
    }

    private void sweeps(StringBuilder body) {
        List<String> keys = new ArrayList<>(held.settings().get(0).keySet());
        if (keys.isEmpty() || keys.size() > 2) {
            return;
        }
        List<String> shown = SWEPT.stream().filter(names()::contains).toList();
        if (keys.size() == 2) {
            shown.forEach(name -> body.append(image(map(name, keys.get(0), keys.get(1)), name)));
            return;
        }
        List<String> values = held.settings().stream().map(one -> one.get(keys.get(0))).toList();
        for (String name : shown) {
            List<Charts.Mark> marks = new ArrayList<>();
            for (int point = 0; point < values.size(); point++) {
                Interval one = interval(held.of(point), name);
                if (one != null) {
                    marks.add(new Charts.Mark(place(values, point), one.mean(), one.half()));
                }
            }
            body.append(
                    image(
                            Charts.curves(
                                    name + " by " + keys.get(0),
                                    keys.get(0),
                                    name,
                                    Map.of(name, marks)),
                            name));
        }
    }

    /** A value's number, unit left out where all have the same; its rank where it is none. */
    private static double place(List<String> values, int point) {
        Set<String> units = new LinkedHashSet<>();
        values.forEach(value -> units.add(value.replaceFirst("^[0-9.]+", "")));
        String number = values.get(point).replaceFirst("[^0-9.].*$", "");
        return units.size() == 1 && !number.isEmpty() ? Double.parseDouble(number) : point;
    }

    private String map(String metric, String across, String up) {
        List<String> columns =
                held.settings().stream().map(one -> one.get(across)).distinct().toList();
        List<String> rows = held.settings().stream().map(one -> one.get(up)).distinct().toList();
        double[][] cells = new double[rows.size()][columns.size()];
        for (double[] row : cells) {
            Arrays.fill(row, Double.NaN);
        }
        for (int point = 0; point < held.points().size(); point++) {
            Interval one = interval(held.of(point), metric);
            if (one != null) {
                cells[rows.indexOf(held.settings().get(point).get(up))][
                                columns.indexOf(held.settings().get(point).get(across))] =
                        one.mean();
            }
        }
        double[] all =
                Arrays.stream(cells)
                        .flatMapToDouble(Arrays::stream)
                        .filter(value -> !Double.isNaN(value))
                        .toArray();
        return Charts.heat(
                metric,
                across,
                up,
                columns,
                rows,
                cells,
                Arrays.stream(all).min().orElse(0),
                Arrays.stream(all).max().orElse(1));
    }

    private void day(StringBuilder body, int point) {
        Day day =
                held.of(point).stream()
                        .filter(one -> !one.course().isEmpty())
                        .findFirst()
                        .orElse(null);
        if (day == null) {
            return;
        }
        body.append("<h2>")
                .append(escape(held.points().get(point)))
                .append(": the day of seed ")
                .append(day.seed())
                .append("</h2>\n");
        List<String> faults = held.faults().get(point);
        if (!faults.isEmpty()) {
            body.append("<ul>");
            faults.forEach(fault -> body.append("<li>").append(escape(fault)).append("</li>"));
            body.append("</ul>\n");
        }
        List<double[]> bands =
                held.spans().get(point).stream()
                        .map(span -> new double[] {span.get(0), span.get(1)})
                        .toList();
        Map<String, List<Double>> course = day.course();
        body.append(
                image(
                        Charts.lines(
                                "First tries, by how they ended in each second",
                                "a second",
                                some(course, "asked", "inTime", "refused", "failed"),
                                bands,
                                false),
                        "ends"));
        body.append(
                image(
                        Charts.lines(
                                "Latency of what was served",
                                "ms (log)",
                                some(course, "p50Ms", "p99Ms"),
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
                                        ratio(course.get("hits"), course.get("misses"))),
                                bands,
                                false),
                        "hit share"));
        body.append(
                image(
                        Charts.lines(
                                "What tries make of it",
                                "a second",
                                some(course, "tries", "copies", "fetches"),
                                bands,
                                false),
                        "copies and fetches"));
        if (!day.load().isEmpty()) {
            body.append(
                    image(
                            rows("Load of each cache (part of its cores)", "cache", day.load()),
                            "load"));
        }
        if (day.unserved().size() > 1) {
            body.append(
                    image(
                            rows(
                                    "Tries not served, by balancer (part of what came)",
                                    "balancer",
                                    day.unserved()),
                            "unserved"));
        }
    }

    private static String rows(String title, String what, List<List<Double>> load) {
        int seconds = load.get(0).size();
        int step = (seconds + MOST_COLUMNS - 1) / MOST_COLUMNS;
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
        return Charts.heat(
                title,
                "seconds",
                what,
                IntStream.range(0, columns)
                        .mapToObj(column -> String.valueOf(column * step))
                        .toList(),
                IntStream.range(0, load.size()).mapToObj(String::valueOf).toList(),
                cells,
                0,
                1);
    }

    private static Map<String, List<Double>> some(
            Map<String, List<Double>> course, String... names) {
        Map<String, List<Double>> all = new LinkedHashMap<>();
        for (String name : names) {
            all.put(name, course.get(name));
        }
        return all;
    }

    private static List<Double> ratio(List<Double> part, List<Double> rest) {
        return IntStream.range(0, part.size())
                .mapToObj(
                        i ->
                                part.get(i) + rest.get(i) == 0
                                        ? 0
                                        : part.get(i) / (part.get(i) + rest.get(i)))
                .toList();
    }

    /** As an image of its own: names within one SVG cannot meet those of another. */
    private static String image(String svg, String what) {
        return "<img alt=\""
                + escape(what)
                + "\" src=\"data:image/svg+xml;base64,"
                + Base64.getEncoder().encodeToString(svg.getBytes(StandardCharsets.UTF_8))
                + "\">\n";
    }

    private static String escape(String text) {
        return StringEscapeUtils.escapeHtml4(text);
    }
}
