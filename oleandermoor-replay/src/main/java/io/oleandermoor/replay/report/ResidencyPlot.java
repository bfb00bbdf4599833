package io.oleandermoor.replay.report;

import io.oleandermoor.replay.Timeline;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.Graphics2D;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Draws which engines hold each model: a row for each model, in it a lane for each engine that ever held it. */
final class ResidencyPlot implements Plots.Painter {

    /** Rows that fit in a picture of legible size. */
    static final int MAXIMUM_MODELS = 60;

    private static final int LEFT = 140;
    private static final int RIGHT = 150;
    private static final int TOP = 8;
    private static final int BOTTOM = 44;
    private static final int LANE = 5;
    private static final int ROW_GAP = 7;
    private static final int ROW_LEAST = 14;
    private static final Color GRID = new Color(0xe4e4e4);
    private static final int LEGEND_LINE = 16;
    private static final Font FONT = new Font(Font.SANS_SERIF, Font.PLAIN, 11);

    /** Orders engine-2 before engine-10. */
    private static final Comparator<UpstreamId> NATURAL = Comparator.comparingInt(
                    (UpstreamId engine) -> engine.value().length())
            .thenComparing(UpstreamId::value);

    private final Timeline timeline;
    private final Map<ModelName, Set<UpstreamId>> holders;
    private final List<UpstreamId> engines;

    ResidencyPlot(Timeline timeline) {
        this.timeline = timeline;
        this.holders = mostHeld(timeline);
        Set<UpstreamId> all = new TreeSet<>(NATURAL);
        holders.values().forEach(all::addAll);
        this.engines = new ArrayList<>(all);
    }

    byte[] png() throws IOException {
        int rows = holders.values().stream().mapToInt(ResidencyPlot::rowHeight).sum();
        return Plots.png(this, TOP + BOTTOM + Math.max(rows, LEGEND_LINE * (engines.size() + 1)));
    }

    /** Returns the models that changed engines most, at most as many as can be drawn. */
    private static Map<ModelName, Set<UpstreamId>> mostHeld(Timeline timeline) {
        Map<ModelName, Set<UpstreamId>> all = new TreeMap<>(Comparator.comparing(ModelName::value));
        timeline.residency()
                .forEach(copies ->
                        copies.forEach(copy -> all.computeIfAbsent(copy.model(), model -> new TreeSet<>(NATURAL))
                                .add(copy.upstream())));
        Map<ModelName, Set<UpstreamId>> kept = new TreeMap<>(
                Comparator.comparingInt((ModelName model) -> model.value().length())
                        .thenComparing(ModelName::value));
        all.entrySet().stream()
                .sorted(Comparator.comparingInt(entry -> -entry.getValue().size()))
                .limit(MAXIMUM_MODELS)
                .forEach(entry -> kept.put(entry.getKey(), entry.getValue()));
        return kept;
    }

    private static int rowHeight(Collection<UpstreamId> lanes) {
        return Math.max(ROW_LEAST, LANE * lanes.size()) + ROW_GAP;
    }

    @Override
    public void paint(Graphics2D graphics, int width, int height) {
        graphics.setFont(FONT);
        int right = width - RIGHT;
        int top = TOP;
        paintAxis(graphics, right, height - BOTTOM);
        for (Map.Entry<ModelName, Set<UpstreamId>> row : holders.entrySet()) {
            int rowHeight = rowHeight(row.getValue());
            graphics.setColor(Color.DARK_GRAY);
            int textWidth = graphics.getFontMetrics().stringWidth(row.getKey().value());
            graphics.drawString(row.getKey().value(), LEFT - 8 - textWidth, top + (rowHeight - ROW_GAP) / 2 + 4);
            int lane = top + Math.max(0, ROW_LEAST - LANE * row.getValue().size()) / 2;
            for (UpstreamId engine : row.getValue()) {
                paintLane(graphics, new Timeline.Copy(row.getKey(), engine), lane, right);
                lane += LANE;
            }
            top += rowHeight;
            graphics.setColor(GRID);
            graphics.drawLine(LEFT, top - ROW_GAP / 2, right, top - ROW_GAP / 2);
        }
        paintLegend(graphics, right + 16);
    }

    private void paintLane(Graphics2D graphics, Timeline.Copy copy, int top, int right) {
        graphics.setColor(colour(copy.upstream()));
        for (int index = 0; index < timeline.size(); index++) {
            if (timeline.residency().get(index).contains(copy)) {
                int from = position(index, right);
                graphics.fillRect(from, top, position(index + 1, right) - from, LANE - 1);
            }
        }
    }

    private void paintAxis(Graphics2D graphics, int right, int bottom) {
        graphics.setStroke(new BasicStroke(1));
        TimeAxis axis = TimeAxis.of(timeline);
        double end = timeline.recordedSeconds(timeline.size());
        int step = axis.tickSeconds(timeline);
        for (int seconds = 0; seconds <= end; seconds += step) {
            int at = LEFT + (int) Math.round(seconds / end * (right - LEFT));
            graphics.setColor(GRID);
            graphics.drawLine(at, TOP, at, bottom);
            graphics.setColor(Color.DARK_GRAY);
            String label = axis.label(seconds);
            graphics.drawString(label, at - graphics.getFontMetrics().stringWidth(label) / 2, bottom + 16);
        }
        int titleWidth = graphics.getFontMetrics().stringWidth(axis.title());
        graphics.drawString(axis.title(), (LEFT + right - titleWidth) / 2, bottom + 34);
    }

    private void paintLegend(Graphics2D graphics, int left) {
        int top = TOP;
        for (UpstreamId engine : engines) {
            graphics.setColor(colour(engine));
            graphics.fillRect(left, top + 3, 14, LANE + 3);
            graphics.setColor(Color.DARK_GRAY);
            graphics.drawString(engine.value(), left + 20, top + 11);
            top += LEGEND_LINE;
        }
    }

    private Color colour(UpstreamId engine) {
        int index = engines.indexOf(engine);
        if (engines.size() <= Plots.colours()) {
            return Plots.colour(index);
        }
        // Neighbours differ in hue and in brightness, because many hues alone look alike.
        return Color.getHSBColor(
                (float) index / engines.size(), index % 2 == 0 ? 0.9f : 0.5f, index % 3 == 0 ? 0.6f : 0.85f);
    }

    private int position(int index, int right) {
        return LEFT + (int) Math.round((double) index / timeline.size() * (right - LEFT));
    }
}
