package io.oleandermoor.replay.report;

import io.oleandermoor.replay.Comparison;
import io.oleandermoor.replay.Policies;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/** One HTML page that compares the standard policies with the baselines. */
public final class ComparisonReport {

    private final ReportOrigin origin;
    private final Comparison comparison;

    /**
     * Creates a report.
     *
     * @param origin where the figures come from
     * @param comparison the figures
     */
    public ComparisonReport(ReportOrigin origin, Comparison comparison) {
        this.origin = Objects.requireNonNull(origin, "origin");
        this.comparison = Objects.requireNonNull(comparison, "comparison");
    }

    /**
     * Writes the page.
     *
     * @param file the file, replaced if it exists
     * @throws IOException if it cannot be written
     */
    public void write(Path file) throws IOException {
        HtmlPage page = new HtmlPage("Comparison with the baselines");
        page.facts(List.of(
                List.of("trace", origin.trace()),
                List.of("seeds", origin.seeds()),
                List.of("standard policies", Policies.STANDARD.toText()),
                List.of("command", origin.command()),
                List.of("version", origin.version())));
        page.note(
                "Each baseline differs from the standard policies in the one policy that it names. The ratio is that of"
                        + " the means to the standard policies; the deviation is over seeds.");
        Map<String, List<Comparison.Row>> measures = new LinkedHashMap<>();
        comparison
                .rows()
                .forEach(row -> measures.computeIfAbsent(row.measure(), measure -> new ArrayList<>())
                        .add(row));
        for (Map.Entry<String, List<Comparison.Row>> measure : measures.entrySet()) {
            add(page, measure.getKey(), measure.getValue());
        }
        page.write(file);
    }

    private static void add(HtmlPage page, String measure, List<Comparison.Row> rows) throws IOException {
        page.heading(measure);
        Map<String, Double> means = new LinkedHashMap<>();
        List<List<String>> cells = new ArrayList<>();
        for (Comparison.Row row : rows) {
            means.put(row.policies(), row.mean());
            cells.add(List.of(
                    row.policies(),
                    String.format(Locale.ROOT, "%.3f", row.mean()),
                    String.format(Locale.ROOT, "%.3f", row.deviation()),
                    row.ratioText()));
        }
        // Without a bar there is nothing to see.
        if (means.values().stream().anyMatch(mean -> mean != 0)) {
            page.picture(Plots.bars(measure, means), measure + " by policies");
        }
        page.table(List.of("policies", "mean", "standard deviation", "ratio"), cells);
    }
}
