package frostrelay.report;

import de.erichseifert.vectorgraphics2d.VectorGraphics2D;
import de.erichseifert.vectorgraphics2d.svg.SVGProcessor;
import de.erichseifert.vectorgraphics2d.util.PageSize;

import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.PaintScale;
import org.jfree.chart.renderer.xy.DeviationRenderer;
import org.jfree.chart.renderer.xy.XYBlockRenderer;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.title.PaintScaleLegend;
import org.jfree.chart.ui.Layer;
import org.jfree.chart.ui.RectangleEdge;
import org.jfree.data.xy.DefaultXYZDataset;
import org.jfree.data.xy.XYDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.data.xy.YIntervalSeries;
import org.jfree.data.xy.YIntervalSeriesCollection;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.text.DecimalFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** JFreeChart plots, rendered as SVG. */
final class Charts {
    static final int WIDTH = 760;
    static final int HEIGHT = 260;
    private static final int MAX_LABELS = 20;
    private static final Color FAULT = new Color(214, 69, 65, 45);

    /** The Okabe-Ito palette, which colour-blind readers can distinguish. */
    private static final List<Color> COLORS =
            List.of(
                    new Color(0, 114, 178),
                    new Color(213, 94, 0),
                    new Color(0, 158, 115),
                    new Color(204, 121, 167),
                    new Color(86, 180, 233),
                    new Color(230, 159, 0),
                    new Color(60, 60, 60));

    /** One point of a curve with its 95% interval. */
    record DataPoint(double x, double mean, double halfWidth) {}

    private Charts() {}

    /**
     * Draws one line per series over time in seconds and shades the intervals of faults. With
     * {@code log} the y axis is logarithmic.
     */
    static String lines(
            String title,
            String unit,
            Map<String, List<Double>> series,
            List<double[]> bands,
            boolean log) {
        XYSeriesCollection data = new XYSeriesCollection();
        series.forEach(
                (name, values) -> {
                    XYSeries one = new XYSeries(name);
                    for (int second = 0; second < values.size(); second++) {
                        // Zero has no logarithm, so a second without responses is drawn as a gap.
                        one.add(second, log && values.get(second) <= 0 ? null : values.get(second));
                    }
                    data.addSeries(one);
                });
        XYPlot plot =
                plot(data, new NumberAxis("seconds"), log ? logAxis(unit) : new NumberAxis(unit));
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        paint(renderer, data.getSeriesCount());
        plot.setRenderer(renderer);
        for (double[] band : bands) {
            plot.addDomainMarker(
                    new IntervalMarker(band[0], Math.max(band[1], band[0] + 0.5), FAULT),
                    Layer.BACKGROUND);
        }
        return svg(title, plot, series.size() > 1, null, HEIGHT);
    }

    private static LogAxis logAxis(String unit) {
        LogAxis axis = new LogAxis(unit);
        axis.setNumberFormatOverride(new DecimalFormat("0"));
        axis.setMinorTickMarksVisible(true);
        return axis;
    }

    /** Draws curves with markers at the data points and confidence intervals as shaded bands. */
    static String curves(
            String title, String xLabel, String unit, Map<String, List<DataPoint>> curves) {
        YIntervalSeriesCollection data = new YIntervalSeriesCollection();
        curves.forEach(
                (name, points) -> {
                    YIntervalSeries one = new YIntervalSeries(name);
                    points.forEach(
                            point ->
                                    one.add(
                                            point.x,
                                            point.mean,
                                            point.mean - point.halfWidth,
                                            point.mean + point.halfWidth));
                    data.addSeries(one);
                });
        NumberAxis yAxis = new NumberAxis(unit);
        yAxis.setAutoRangeIncludesZero(false);
        NumberAxis xAxis = new NumberAxis(xLabel);
        xAxis.setAutoRangeIncludesZero(false);
        XYPlot plot = plot(data, xAxis, yAxis);
        DeviationRenderer renderer = new DeviationRenderer(true, true);
        renderer.setAlpha(0.18f);
        paint(renderer, data.getSeriesCount());
        for (int i = 0; i < data.getSeriesCount(); i++) {
            renderer.setSeriesFillPaint(i, COLORS.get(i % COLORS.size()));
        }
        plot.setRenderer(renderer);
        return svg(title, plot, curves.size() > 1, null, HEIGHT);
    }

    /**
     * Draws a heat map with one row of {@code cells} per entry of {@code rows}; the greatest value
     * is the brightest.
     */
    static String heatMap(
            String title,
            String xLabel,
            String yLabel,
            List<String> columns,
            List<String> rows,
            double[][] cells,
            double min,
            double max) {
        int cellCount = columns.size() * rows.size();
        double[][] xyz = new double[3][cellCount];
        for (int row = 0, at = 0; row < rows.size(); row++) {
            for (int column = 0; column < columns.size(); column++, at++) {
                xyz[0][at] = column;
                xyz[1][at] = row;
                xyz[2][at] = cells[row][column];
            }
        }
        DefaultXYZDataset data = new DefaultXYZDataset();
        data.addSeries("", xyz);
        SymbolAxis xAxis = new SymbolAxis(xLabel, thinLabels(columns));
        SymbolAxis yAxis = new SymbolAxis(yLabel, thinLabels(rows));
        XYPlot plot = plot(data, xAxis, yAxis);
        for (SymbolAxis axis : List.of(xAxis, yAxis)) {
            axis.setGridBandsVisible(false);
            axis.setLowerMargin(0);
            axis.setUpperMargin(0);
        }
        XYBlockRenderer renderer = new XYBlockRenderer();
        Scale scale = new Scale(min, Math.max(max, min + 1e-9));
        renderer.setPaintScale(scale);
        plot.setRenderer(renderer);
        PaintScaleLegend legend = new PaintScaleLegend(scale, axis(new NumberAxis("")));
        legend.setPosition(RectangleEdge.RIGHT);
        legend.setMargin(4, 8, 28, 4);
        legend.setBackgroundPaint(Color.WHITE);
        return svg(title, plot, false, legend, Math.max(HEIGHT, 60 + 14 * rows.size()));
    }

    /**
     * Blanks all but every n-th label, so that at most {@link #MAX_LABELS} are drawn without
     * overlap.
     */
    private static String[] thinLabels(List<String> labels) {
        int step = (labels.size() + MAX_LABELS - 1) / MAX_LABELS;
        return IntStream.range(0, labels.size())
                .mapToObj(i -> i % step == 0 ? labels.get(i) : "")
                .toArray(String[]::new);
    }

    /**
     * A colour scale sampled from viridis, from dark blue through green to yellow. It is
     * perceptually uniform, also in greyscale.
     */
    private record Scale(double lowerBound, double upperBound) implements PaintScale {
        private static final int[][] STOPS = {
            {68, 1, 84}, {59, 82, 139}, {33, 145, 140}, {94, 201, 98}, {253, 231, 37}
        };

        @Override
        public double getLowerBound() {
            return lowerBound;
        }

        @Override
        public double getUpperBound() {
            return upperBound;
        }

        @Override
        public Color getPaint(double value) {
            if (Double.isNaN(value)) {
                return Color.LIGHT_GRAY;
            }
            double at =
                    Math.max(0, Math.min(1, (value - lowerBound) / (upperBound - lowerBound)))
                            * (STOPS.length - 1);
            int stop = (int) Math.min(STOPS.length - 2, Math.floor(at));
            double fraction = at - stop;
            int[] rgb = new int[3];
            for (int i = 0; i < 3; i++) {
                rgb[i] =
                        (int)
                                Math.round(
                                        STOPS[stop][i]
                                                + fraction * (STOPS[stop + 1][i] - STOPS[stop][i]));
            }
            return new Color(rgb[0], rgb[1], rgb[2]);
        }
    }

    private static <T extends ValueAxis> T axis(T axis) {
        axis.setLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        axis.setTickLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, 10));
        return axis;
    }

    private static XYPlot plot(XYDataset data, ValueAxis xAxis, ValueAxis yAxis) {
        XYPlot plot = new XYPlot(data, axis(xAxis), axis(yAxis), null);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(new Color(225, 225, 225));
        plot.setRangeGridlinePaint(new Color(225, 225, 225));
        plot.setOutlinePaint(new Color(150, 150, 150));
        return plot;
    }

    private static void paint(XYLineAndShapeRenderer renderer, int count) {
        for (int i = 0; i < count; i++) {
            renderer.setSeriesPaint(i, COLORS.get(i % COLORS.size()));
            renderer.setSeriesStroke(i, new BasicStroke(1.6f));
        }
    }

    private static String svg(
            String title, XYPlot plot, boolean legend, PaintScaleLegend scale, int height) {
        JFreeChart chart =
                new JFreeChart(title, new Font(Font.SANS_SERIF, Font.BOLD, 13), plot, legend);
        chart.setBackgroundPaint(Color.WHITE);
        if (chart.getLegend() != null) {
            chart.getLegend().setItemFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        }
        if (scale != null) {
            chart.addSubtitle(scale);
        }
        VectorGraphics2D graphics = new VectorGraphics2D();
        chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, height));
        try (ByteArrayOutputStream out = new ByteArrayOutputStream()) {
            new SVGProcessor()
                    .getDocument(graphics.getCommands(), new PageSize(0, 0, WIDTH, height))
                    .writeTo(out);
            return out.toString(java.nio.charset.StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
