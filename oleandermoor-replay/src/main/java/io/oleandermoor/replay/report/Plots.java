package io.oleandermoor.replay.report;

import io.oleandermoor.replay.Timeline;
import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.identity.TeamName;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.Graphics2D;
import java.awt.RenderingHints;
import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TimeZone;
import java.util.TreeMap;
import java.util.function.Function;
import javax.imageio.ImageIO;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.AxesChartStyler;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the plots of a report as PNG pictures. */
final class Plots {

    /** Width in pixels of the page; pictures have twice as many for sharp text. */
    static final int WIDTH = 960;

    private static final int HEIGHT = 340;
    private static final int BAR_HEIGHT = 240;
    private static final int SCALE = 2;
    private static final int LEFT_MARGIN = 70;
    private static final double HEADROOM = 1.06;
    private static final double LEAST_QUEUE_MILLIS = 10;
    private static final double LEAST_COUNT = 4;
    private static final Color GRID = new Color(0xe4e4e4);
    /** Colours that people with the common kinds of colour blindness can tell apart (Okabe and Ito). */
    private static final Color[] COLOURS = {
        new Color(0x0072b2),
        new Color(0xd55e00),
        new Color(0x009e73),
        new Color(0xcc79a7),
        new Color(0xe69f00),
        new Color(0x56b4e9),
        new Color(0x555555),
        new Color(0xb8a800)
    };

    private Plots() {}

    static {
        // The pictures need no display, and a server has none.
        if (System.getProperty("java.awt.headless") == null) {
            System.setProperty("java.awt.headless", "true");
        }
    }

    /** Paints something on a white picture of a given size in points. */
    @FunctionalInterface
    interface Painter {
        void paint(Graphics2D graphics, int width, int height);
    }

    /** Returns the number of different colours. */
    static int colours() {
        return COLOURS.length;
    }

    static Color colour(int index) {
        return COLOURS[index % COLOURS.length];
    }

    static byte[] attainment(Timeline timeline) throws IOException {
        XYChart chart = overTime(timeline, "attainment");
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.02).setYAxisDecimalPattern("0.0");
        byTeam(timeline, Timeline.OfTeam::attainment).forEach((team, values) -> line(chart, timeline, team, values));
        return png(chart::paint, HEIGHT);
    }

    /** Draws the time in the queue, unless no request of the class started. */
    static Optional<byte[]> queueTime(Timeline timeline, RequestClass requestClass) throws IOException {
        XYChart chart = overTime(timeline, "mean time in the queue, ms");
        Map<String, List<Double>> values =
                byTeam(timeline, team -> team.queueMillis().getOrDefault(requestClass, List.of()));
        values.values().removeIf(series -> series.stream().allMatch(value -> value.isNaN()));
        if (values.isEmpty()) {
            return Optional.empty();
        }
        limit(chart.getStyler(), values.values().stream().flatMap(List::stream).toList(), LEAST_QUEUE_MILLIS);
        values.forEach((team, series) -> line(chart, timeline, team, series));
        return Optional.of(png(chart::paint, HEIGHT));
    }

    static byte[] moves(Timeline timeline) throws IOException {
        XYChart chart = overTime(timeline, "model loads " + each(timeline));
        limit(chart.getStyler(), timeline.modelMoves(), LEAST_COUNT);
        XYSeries series = chart.addSeries("loads", TimeAxis.points(timeline), timeline.modelMoves());
        series.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.StepArea);
        series.setMarker(SeriesMarkers.NONE);
        return png(chart::paint, BAR_HEIGHT);
    }

    static byte[] refusals(Timeline timeline) throws IOException {
        XYChart chart = overTime(timeline, "refusals " + each(timeline));
        Map<String, List<Long>> values = byTeam(timeline, Plots::allRefusals);
        limit(chart.getStyler(), values.values().stream().flatMap(List::stream).toList(), LEAST_COUNT);
        values.forEach((team, series) ->
                line(chart, timeline, team, series).setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Step));
        return png(chart::paint, HEIGHT);
    }

    /** Draws one bar for each name. */
    static byte[] bars(String title, Map<String, Double> values) throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(BAR_HEIGHT)
                .yAxisTitle(title)
                .build();
        style(chart.getStyler());
        chart.getStyler().setAvailableSpaceFill(0.5);
        chart.getStyler().setAxisTickLabelsFont(new Font(Font.SANS_SERIF, Font.PLAIN, 9));
        chart.getStyler().setLegendVisible(false);
        limit(chart.getStyler(), values.values(), 0);
        chart.addSeries(title, new ArrayList<>(values.keySet()), new ArrayList<>(values.values()));
        return png(chart::paint, BAR_HEIGHT);
    }

    static byte[] png(Painter painter, int height) throws IOException {
        BufferedImage image = new BufferedImage(WIDTH * SCALE, height * SCALE, BufferedImage.TYPE_INT_RGB);
        Graphics2D graphics = image.createGraphics();
        graphics.setRenderingHint(RenderingHints.KEY_ANTIALIASING, RenderingHints.VALUE_ANTIALIAS_ON);
        graphics.setRenderingHint(RenderingHints.KEY_TEXT_ANTIALIASING, RenderingHints.VALUE_TEXT_ANTIALIAS_ON);
        graphics.scale(SCALE, SCALE);
        graphics.setColor(Color.WHITE);
        graphics.fillRect(0, 0, WIDTH, height);
        painter.paint(graphics, WIDTH, height);
        graphics.dispose();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ImageIO.write(image, "png", bytes);
        return bytes.toByteArray();
    }

    /** Lets the axis start at zero and end above the largest value, so that small values are not blown up. */
    private static void limit(AxesChartStyler styler, Collection<? extends Number> values, double least) {
        double largest = values.stream()
                .mapToDouble(Number::doubleValue)
                .filter(Double::isFinite)
                .max()
                .orElse(0);
        styler.setYAxisMin(0.0);
        styler.setYAxisMax(Math.max(least, largest * HEADROOM));
    }

    private static XYChart overTime(Timeline timeline, String title) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .xAxisTitle(TimeAxis.of(timeline).title())
                .yAxisTitle(title)
                .build();
        style(chart.getStyler());
        chart.getStyler().setXAxisMin(0.0);
        chart.getStyler().setXAxisMax((double) TimeAxis.millis(timeline, timeline.size()));
        chart.getStyler().setDatePattern(TimeAxis.of(timeline).pattern());
        chart.getStyler().setTimezone(TimeZone.getTimeZone("UTC"));
        return chart;
    }

    private static void style(AxesChartStyler styler) {
        styler.setLocale(Locale.ROOT);
        styler.setChartBackgroundColor(Color.WHITE);
        styler.setPlotBackgroundColor(Color.WHITE);
        styler.setPlotBorderVisible(false);
        styler.setPlotContentSize(0.98);
        // Equal margins let a reader compare the same time in several plots.
        styler.setYAxisLeftWidthHint(LEFT_MARGIN);
        styler.setPlotGridLinesColor(GRID);
        styler.setPlotGridLinesStroke(new BasicStroke(1));
        styler.setSeriesColors(COLOURS);
        styler.setLegendBorderColor(Color.WHITE);
        styler.setLegendPosition(Styler.LegendPosition.OutsideE);
        styler.setAxisTitleFont(new Font(Font.SANS_SERIF, Font.PLAIN, 12));
        styler.setAxisTickLabelsFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        styler.setLegendFont(new Font(Font.SANS_SERIF, Font.PLAIN, 12));
    }

    private static XYSeries line(XYChart chart, Timeline timeline, String name, List<? extends Number> values) {
        XYSeries series = chart.addSeries(name, TimeAxis.points(timeline), values);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineWidth(1.4f);
        return series;
    }

    private static <V> Map<String, List<V>> byTeam(Timeline timeline, Function<Timeline.OfTeam, List<V>> values) {
        Map<String, List<V>> byTeam = new TreeMap<>();
        for (Map.Entry<TeamName, Timeline.OfTeam> team : timeline.teams().entrySet()) {
            byTeam.put(team.getKey().value(), values.apply(team.getValue()));
        }
        return byTeam;
    }

    private static List<Long> allRefusals(Timeline.OfTeam team) {
        List<Long> sums = new ArrayList<>(Collections.nCopies(team.attainment().size(), 0L));
        team.refusals().values().forEach(counts -> {
            for (int index = 0; index < counts.size(); index++) {
                sums.set(index, sums.get(index) + counts.get(index));
            }
        });
        return sums;
    }

    private static String each(Timeline timeline) {
        double seconds = timeline.recordedSeconds(1);
        return seconds >= 120
                ? String.format(Locale.ROOT, "in %.1f min", seconds / 60)
                : String.format(Locale.ROOT, "in %.1f s", seconds);
    }
}
