package io.oleandermoor.replay;

import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

/** Replays the same traces with the standard policies and with each baseline. */
public final class Comparison {

    private final Map<String, List<ReplayResult>> results;

    private Comparison(Map<String, List<ReplayResult>> results) {
        this.results = results;
    }

    /** Opens the trace of a seed. */
    @FunctionalInterface
    public interface Opener {

        /**
         * Opens a trace at its start.
         *
         * @param seed the seed
         * @return the trace, closed by the comparison
         * @throws IOException if it cannot be read
         * @throws InvalidInputException if its header has errors
         */
        TraceSource open(long seed) throws IOException, InvalidInputException;
    }

    private enum Measure {
        ATTAINED("attained tokens/s per accelerator", ReplayResult::attainedPerAccelerator),
        MOVES("model moves", ReplayResult::moves),
        WORST("worst-served team", ReplayResult::worstServed),
        WRONGFUL("wrongful refusals", ReplayResult::wrongfulRefusals),
        OVER("tokens over the limit", ReplayResult::tokensOverLimit),
        UNREACHABLE("unreachable model seconds", ReplayResult::unreachableModelSeconds),
        VIOLATIONS("broken invariants", result -> result.violations().size());

        private final String title;
        private final ToDoubleFunction<ReplayResult> value;

        Measure(String title, ToDoubleFunction<ReplayResult> value) {
            this.title = title;
            this.value = value;
        }
    }

    /**
     * Runs all replays.
     *
     * @param opener gives the traces
     * @param firstSeed the first seed
     * @param seeds number of seeds, positive
     * @return the comparison
     * @throws IOException if a trace cannot be read
     * @throws InvalidInputException if a trace has errors
     */
    public static Comparison run(Opener opener, long firstSeed, int seeds) throws IOException, InvalidInputException {
        if (seeds <= 0) {
            throw new IllegalArgumentException("seeds must be positive: " + seeds);
        }
        Map<String, Policies> policies = new LinkedHashMap<>();
        policies.put("standard", Policies.STANDARD);
        policies.putAll(Policies.baselines());
        Map<String, List<ReplayResult>> results = new LinkedHashMap<>();
        for (Map.Entry<String, Policies> entry : policies.entrySet()) {
            List<ReplayResult> list = new ArrayList<>();
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                try (TraceSource source = opener.open(seed)) {
                    list.add(new ReplayRunner(source, entry.getValue(), seed).run());
                }
            }
            results.put(entry.getKey(), list);
        }
        return new Comparison(results);
    }

    /**
     * Returns the results by name of the policies.
     *
     * @return one result for each seed; the first name is that of the standard policies
     */
    public Map<String, List<ReplayResult>> results() {
        return Map.copyOf(results);
    }

    /**
     * One measure of one choice of policies.
     *
     * @param measure title of the measure
     * @param policies name of the policies
     * @param mean mean over seeds
     * @param deviation standard deviation over seeds
     * @param ratio ratio of the mean to that of the standard policies, empty if that is zero
     */
    public record Row(String measure, String policies, double mean, double deviation, OptionalDouble ratio) {

        /**
         * Returns the ratio as text.
         *
         * @return three decimals, or a dash
         */
        public String ratioText() {
            return ratio.isPresent() ? String.format(Locale.ROOT, "%.3f", ratio.getAsDouble()) : "-";
        }
    }

    /**
     * Returns mean, standard deviation over seeds, and ratio to the standard policies.
     *
     * @return the rows of each measure, those of the standard policies first
     */
    public List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        for (Measure measure : Measure.values()) {
            double standard = mean(results.getOrDefault("standard", List.of()), measure.value);
            results.forEach((name, list) -> {
                double mean = mean(list, measure.value);
                double variance = mean(list, result -> Math.pow(measure.value.applyAsDouble(result) - mean, 2));
                OptionalDouble ratio = standard == 0 ? OptionalDouble.empty() : OptionalDouble.of(mean / standard);
                rows.add(new Row(measure.title, name, mean, Math.sqrt(variance), ratio));
            });
        }
        return rows;
    }

    /**
     * Returns mean, standard deviation over seeds, and ratio to the standard policies, for each measure.
     *
     * @return several lines
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        String measure = "";
        for (Row row : rows()) {
            if (!row.measure().equals(measure)) {
                measure = row.measure();
                text.append(measure).append('\n');
            }
            text.append(String.format(
                    Locale.ROOT,
                    "  %-24s %12.3f +- %9.3f  ratio %s%n",
                    row.policies(),
                    row.mean(),
                    row.deviation(),
                    row.ratioText()));
        }
        return text.toString();
    }

    private static double mean(List<ReplayResult> list, ToDoubleFunction<ReplayResult> value) {
        return list.stream().mapToDouble(value).average().orElse(0);
    }
}
