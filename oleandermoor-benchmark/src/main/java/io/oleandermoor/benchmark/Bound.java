package io.oleandermoor.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A bound of one benchmark. Immutable.
 *
 * @param benchmark simple name of the class and of the method, with a dot between them
 * @param parameters values by name of the parameter, one map, or two that are compared
 * @param metric p99, mean, growth, or the name of a counter of the benchmark
 * @param limit largest permitted value
 * @param unit unit of the limit: us, ms, ratio, or that of the counter
 * @param target the stated target that the limit comes from
 */
record Bound(
        String benchmark,
        List<Map<String, String>> parameters,
        String metric,
        double limit,
        String unit,
        String target) {

    static final String P99 = "p99";
    static final String MEAN = "mean";
    static final String GROWTH = "growth";

    private static final int FIELDS = 6;
    private static final String COMPARED = " -> ";

    /** Checks that growth compares two sizes and that the other metrics have one. */
    Bound {
        if (benchmark.split("\\.", -1).length != 2) {
            throw new IllegalArgumentException("benchmark must be Class.method: " + benchmark);
        }
        if (parameters.size() != (metric.equals(GROWTH) ? 2 : 1)) {
            throw new IllegalArgumentException("growth compares two parameters, other metrics have one: " + parameters);
        }
        if (!(limit > 0) || target.isBlank()) {
            throw new IllegalArgumentException("limit must be positive and target stated: " + limit + ", " + target);
        }
        parameters = List.copyOf(parameters);
    }

    /**
     * Reads a file of bounds.
     *
     * @throws IOException if it cannot be read or a line is damaged; the message has its number
     */
    static List<Bound> read(Path file) throws IOException {
        List<Bound> bounds = new ArrayList<>();
        List<String> lines = Files.readAllLines(file);
        for (int index = 0; index < lines.size(); index++) {
            String line = lines.get(index);
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            try {
                bounds.add(parse(line));
            } catch (IllegalArgumentException exception) {
                throw new IOException(file + ":" + (index + 1) + ": " + exception.getMessage(), exception);
            }
        }
        return bounds;
    }

    /** Returns whether the metric is a counter, which is measured once and not in the short fixed mode. */
    boolean isCounter() {
        return !List.of(P99, MEAN, GROWTH).contains(metric);
    }

    private static Bound parse(String line) {
        String[] fields = line.split(",", FIELDS);
        if (fields.length < FIELDS) {
            throw new IllegalArgumentException("expected " + FIELDS + " fields, found " + fields.length);
        }
        List<Map<String, String>> parameters = new ArrayList<>();
        for (String set : fields[1].split(COMPARED, -1)) {
            parameters.add(parseParameters(set));
        }
        return new Bound(fields[0], parameters, fields[2], Double.parseDouble(fields[3]), fields[4], fields[5]);
    }

    private static Map<String, String> parseParameters(String text) {
        Map<String, String> values = new LinkedHashMap<>();
        for (String pair : text.isBlank() ? new String[0] : text.split(" ", -1)) {
            String[] nameAndValue = pair.split("=", -1);
            if (nameAndValue.length != 2) {
                throw new IllegalArgumentException("expected name=value: " + pair);
            }
            values.put(nameAndValue[0], nameAndValue[1]);
        }
        return values;
    }
}
