package io.oleandermoor.replay;

import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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
     * Returns mean, standard deviation over seeds, and ratio to the standard policies, for each measure.
     *
     * @return several lines
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        for (Measure measure : Measure.values()) {
            text.append(measure.title).append('\n');
            double standard = mean(results.getOrDefault("standard", List.of()), measure.value);
            results.forEach((name, list) -> {
                double mean = mean(list, measure.value);
                double variance = mean(list, result -> Math.pow(measure.value.applyAsDouble(result) - mean, 2));
                String ratio = standard == 0 ? "-" : String.format(Locale.ROOT, "%.3f", mean / standard);
                text.append(String.format(
                        Locale.ROOT, "  %-24s %12.3f +- %9.3f  ratio %s%n", name, mean, Math.sqrt(variance), ratio));
            });
        }
        return text.toString();
    }

    private static double mean(List<ReplayResult> list, ToDoubleFunction<ReplayResult> value) {
        return list.stream().mapToDouble(value).average().orElse(0);
    }
}
