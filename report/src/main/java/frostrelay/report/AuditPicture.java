package frostrelay.report;

import org.apache.commons.text.StringEscapeUtils;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A self-contained HTML page with a timeline of the version that each balancer process used. Rows
 * are processes, the x axis is time, and each version has a colour. Gaps in a record are hatched; a
 * pale edge spans the interval in which a change happened at an unknown time.
 */
public final class AuditPicture {
    private static final int LEFT = 190;
    private static final int WIDTH = 860;
    private static final int ROW = 22;
    private static final int TOP = 34;

    /**
     * The Okabe-Ito palette, which colour-blind readers can distinguish; colours repeat when there
     * are more versions than colours.
     */
    private static final List<String> COLORS =
            List.of(
                    "#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#f0e442",
                    "#3c3c3c");

    private static final int TICKS = 10;

    private final String title;
    private final List<Map<String, Object>> rows;
    private final Map<String, String> colors = new LinkedHashMap<>();
    private long firstMillis = Long.MAX_VALUE;
    private long lastMillis = Long.MIN_VALUE;

    /**
     * Creates the page from the rows of one version kind in the audit report. Each time is a pair
     * [earliest, latest] in milliseconds.
     */
    public AuditPicture(String title, List<Map<String, Object>> rows) {
        this.title = title;
        this.rows = rows;
        for (Map<String, Object> row : rows) {
            for (Object item : (List<?>) row.get("spans")) {
                Map<?, ?> span = (Map<?, ?>) item;
                colors.computeIfAbsent(
                        String.valueOf(span.get("version")),
                        v -> COLORS.get(colors.size() % COLORS.size()));
                firstMillis = Math.min(firstMillis, boundMillis(span, "from", 0));
                lastMillis = Math.max(lastMillis, boundMillis(span, "to", 1));
            }
        }
    }

    private static long boundMillis(Map<?, ?> span, String key, int end) {
        return ((Number) ((List<?>) span.get(key)).get(end)).longValue();
    }

    private double x(long ms) {
        return LEFT + WIDTH * (ms - firstMillis) / (double) Math.max(1, lastMillis - firstMillis);
    }

    /** Returns the page as HTML. */
    public String html() {
        int height = TOP + ROW * rows.size() + 30;
        StringBuilder svg =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">"
                                        + "<defs><pattern id=\"gap\" width=\"6\" height=\"6\" patternUnits=\"userSpaceOnUse\" patternTransform=\"rotate(45)\">"
                                        + "<rect width=\"6\" height=\"6\" fill=\"white\"/><rect width=\"3\" height=\"6\" fill=\"#999\"/></pattern></defs>%n",
                                LEFT + WIDTH + 20,
                                height));
        for (int i = 0; i <= TICKS && !rows.isEmpty(); i++) {
            long ms = firstMillis + (lastMillis - firstMillis) * i / TICKS;
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"#e1e1e1\"/>"
                                    + "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%.1f s</text>%n",
                            x(ms),
                            TOP - 6,
                            x(ms),
                            TOP + ROW * rows.size(),
                            x(ms),
                            TOP - 12,
                            ms / 1e3));
        }
        for (int i = 0; i < rows.size(); i++) {
            appendRow(svg, rows.get(i), TOP + i * ROW);
        }
        svg.append("</svg>");
        StringBuilder legend = new StringBuilder();
        colors.forEach(
                (version, color) ->
                        legend.append("<span style=\"margin-right:18px\"><span style=\"background:")
                                .append(color)
                                .append(";display:inline-block;width:14px;height:10px\"></span> ")
                                .append(escape(version))
                                .append("</span>"));
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + escape(title)
                + "</title><style>body{font:14px sans-serif;margin:2em;color:#222}</style></head><body><h1>"
                + escape(title)
                + "</h1>\n<p>Each row is one balancer process. Hatched: a gap in its record. Pale edge: the change happened at an"
                + " unknown time in this interval. Blank: no data.</p>\n<p>"
                + legend
                + "</p>\n"
                + svg
                + "\n</body></html>\n";
    }

    private void appendRow(StringBuilder svg, Map<String, Object> row, int y) {
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>%n",
                        LEFT - 8,
                        y + 14,
                        escape(String.valueOf(row.get("life")))));
        for (Object item : (List<?>) row.get("spans")) {
            Map<?, ?> span = (Map<?, ?>) item;
            String color = colors.get(String.valueOf(span.get("version")));
            appendRectangle(
                    svg,
                    boundMillis(span, "from", 0),
                    boundMillis(span, "to", 1),
                    y,
                    color,
                    0.35,
                    String.valueOf(span.get("version")));
            appendRectangle(
                    svg,
                    boundMillis(span, "from", 1),
                    boundMillis(span, "to", 0),
                    y,
                    color,
                    1,
                    String.valueOf(span.get("version")));
        }
        for (Object item : (List<?>) row.get("gaps")) {
            List<?> gap = (List<?>) item;
            appendRectangle(
                    svg,
                    ((Number) gap.get(0)).longValue(),
                    ((Number) gap.get(1)).longValue(),
                    y,
                    "url(#gap)",
                    1,
                    "gap");
        }
    }

    private void appendRectangle(
            StringBuilder svg,
            long from,
            long to,
            int y,
            String fill,
            double opacity,
            String label) {
        if (to > from) {
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\""
                                    + " fill-opacity=\"%.2f\"><title>%s, %.3f to %.3f s</title></rect>%n",
                            x(from),
                            y + 3,
                            Math.max(0.5, x(to) - x(from)),
                            ROW - 6,
                            fill,
                            opacity,
                            escape(label),
                            from / 1e3,
                            to / 1e3));
        }
    }

    private static String escape(String text) {
        return StringEscapeUtils.escapeHtml4(text);
    }
}
