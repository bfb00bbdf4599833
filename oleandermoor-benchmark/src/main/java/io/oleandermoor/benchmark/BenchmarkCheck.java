package io.oleandermoor.benchmark;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs the benchmarks that have bounds and compares them. Ends with status 1 when a bound is exceeded. */
public final class BenchmarkCheck {

    private static final String ALLOCATION = "gc.alloc.rate.norm";
    private static final int WARM_UP_ITERATIONS = 3;
    private static final int ITERATIONS = 3;
    private static final Map<String, Double> NANOSECONDS = Map.of("ns", 1.0, "us", 1e3, "ms", 1e6, "s", 1e9);

    private BenchmarkCheck() {}

    /**
     * Checks all bounds of a file.
     *
     * @param arguments the file, and a part of the names of benchmarks or nothing for all
     * @throws IOException if the file cannot be read
     * @throws RunnerException if a benchmark cannot run
     */
    public static void main(String[] arguments) throws IOException, RunnerException {
        String part = arguments.length > 1 ? arguments[1] : "";
        List<Bound> bounds = Bound.read(Path.of(arguments[0])).stream()
                .filter(bound -> bound.benchmark().contains(part))
                .toList();
        if (bounds.isEmpty()) {
            throw new IOException("no bound has a benchmark with '" + part + "' in its name");
        }
        List<RunResult> results = new ArrayList<>();
        results.addAll(run(bounds.stream().filter(bound -> !bound.isCounter()).toList(), false));
        results.addAll(run(bounds.stream().filter(Bound::isCounter).toList(), true));
        int exceeded = 0;
        for (Bound bound : bounds) {
            OptionalDouble value = value(bound, results);
            boolean kept = value.isPresent() && value.getAsDouble() <= bound.limit();
            exceeded += kept ? 0 : 1;
            System.out.printf(
                    Locale.ROOT,
                    "%-8s %s %s %s: %s of %s %s (%s)%n",
                    kept ? "ok" : "EXCEEDED",
                    bound.benchmark(),
                    bound.parameters(),
                    bound.metric(),
                    value.isPresent() ? String.format(Locale.ROOT, "%.3f", value.getAsDouble()) : "not measured",
                    bound.limit(),
                    bound.unit(),
                    allocations(bound, results));
        }
        System.out.printf("%d of %d bounds are exceeded%n", exceeded, bounds.size());
        System.exit(exceeded == 0 ? 0 : 1);
    }

    private static Collection<RunResult> run(List<Bound> bounds, boolean counters) throws RunnerException {
        if (bounds.isEmpty()) {
            return List.of();
        }
        ChainedOptionsBuilder options = new OptionsBuilder().forks(1).threads(1).addProfiler(GCProfiler.class);
        if (!counters) {
            options.warmupIterations(WARM_UP_ITERATIONS).warmupTime(TimeValue.seconds(1));
            options.measurementIterations(ITERATIONS).measurementTime(TimeValue.seconds(1));
        }
        Map<String, Set<String>> values = new LinkedHashMap<>();
        for (Bound bound : bounds) {
            options.include("\\." + bound.benchmark().replace(".", "\\.") + "$");
            bound.parameters()
                    .forEach(parameters -> parameters.forEach((name, value) ->
                            values.computeIfAbsent(name, key -> new HashSet<>()).add(value)));
        }
        values.forEach((name, set) -> options.param(name, set.toArray(String[]::new)));
        return new Runner(options.build()).run();
    }

    private static OptionalDouble value(Bound bound, List<RunResult> results) {
        List<RunResult> measured = measured(bound, results);
        if (measured.size() < bound.parameters().size()) {
            return OptionalDouble.empty();
        }
        RunResult result = measured.get(0);
        return switch (bound.metric()) {
            case Bound.GROWTH -> OptionalDouble.of(allocation(measured.get(1)) / allocation(result));
            case Bound.MEAN ->
                OptionalDouble.of(time(result, result.getPrimaryResult().getScore(), bound));
            case Bound.P99 ->
                OptionalDouble.of(
                        time(result, result.getPrimaryResult().getStatistics().getPercentile(99), bound));
            default -> {
                Result<?> counter = result.getSecondaryResults().get(bound.metric());
                yield counter == null ? OptionalDouble.empty() : OptionalDouble.of(counter.getScore());
            }
        };
    }

    private static List<RunResult> measured(Bound bound, List<RunResult> results) {
        List<RunResult> measured = new ArrayList<>();
        for (Map<String, String> parameters : bound.parameters()) {
            results.stream()
                    .filter(result -> result.getParams().getBenchmark().endsWith("." + bound.benchmark()))
                    .filter(result -> parameters.entrySet().stream()
                            .allMatch(parameter -> parameter
                                    .getValue()
                                    .equals(result.getParams().getParam(parameter.getKey()))))
                    .findFirst()
                    .ifPresent(measured::add);
        }
        return measured;
    }

    /** Converts a time of a benchmark, whose unit is like ns/op, to the unit of the bound. */
    private static double time(RunResult result, double score, Bound bound) {
        String unit = result.getPrimaryResult().getScoreUnit().replace("/op", "");
        return score * NANOSECONDS.getOrDefault(unit, Double.NaN) / NANOSECONDS.getOrDefault(bound.unit(), Double.NaN);
    }

    private static double allocation(RunResult result) {
        Result<?> allocated = result.getSecondaryResults().get(ALLOCATION);
        return allocated == null ? Double.NaN : allocated.getScore();
    }

    private static String allocations(Bound bound, List<RunResult> results) {
        List<String> texts = measured(bound, results).stream()
                .map(result -> String.format(Locale.ROOT, "%.0f B/op", allocation(result)))
                .toList();
        return String.join(" and ", texts);
    }
}
