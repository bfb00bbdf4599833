package io.oleandermoor.command;

import java.io.PrintStream;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Counts the requests that were refused, failed or answered late, grouped by one property at a time, with the
 * identifier of one request of each group.
 */
final class OutcomeSummary {

    /** Length of a time of day up to its seconds, as in {@code 2026-01-01T10:00:02}. */
    private static final int SECOND_LENGTH = 19;

    private static final String LATE = "late";
    private static final String NONE = "-";
    /** Width of a range of milliseconds in a table of late streams. */
    private static final long DELAY_RANGE_MILLIS = 250;
    /** Width of a range of requests in flight in a table of late streams. */
    private static final long LOAD_RANGE_REQUESTS = 10;

    /** A property by which outcomes are grouped. */
    private enum Grouping {
        REASON("reason", OutcomeSummary::reason),
        ROUTE("route", line -> line.field("route").orElse(NONE)),
        TEAM("team", line -> line.field("team").orElse(NONE)),
        MODEL("model", line -> line.field("target").map(OutcomeSummary::model).orElse(NONE)),
        SECOND(
                "second",
                line -> line.time()
                        .substring(0, Math.min(SECOND_LENGTH, line.time().length())));

        private final String title;
        private final Function<LogLine, String> key;

        Grouping(String title, Function<LogLine, String> key) {
            this.title = title;
            this.key = key;
        }
    }

    /** A measurement of a late stream by whose range late streams are grouped. */
    private enum Measurement {
        FIRST_EVENT("first_ms", DELAY_RANGE_MILLIS),
        LONGEST_PAUSE("pause_ms", DELAY_RANGE_MILLIS),
        LOAD_AT_SENDING("load_sent", LOAD_RANGE_REQUESTS);

        private final String field;
        private final long rangeWidth;

        Measurement(String field, long rangeWidth) {
            this.field = field;
            this.rangeWidth = rangeWidth;
        }

        /** Returns the start of the range of a line's value; empty if the line has no whole number for it. */
        private Optional<Long> rangeStart(LogLine line) {
            return line.field(field)
                    .filter(value -> value.matches("\\d{1,18}"))
                    .map(value -> Long.parseLong(value) / rangeWidth * rangeWidth);
        }
    }

    private record GroupKey(String outcome, String value) {}

    private static final class Group {

        private final String exampleRequest;
        private int count;

        private Group(String exampleRequest) {
            this.exampleRequest = exampleRequest;
        }
    }

    private final List<LogLine> outcomes;
    private final List<LogLine> leftOut;

    /**
     * Creates a summary.
     *
     * @param lines the lines of all processes, in any order
     * @param outcomeEvents the events that end a request
     */
    OutcomeSummary(List<LogLine> lines, Collection<String> outcomeEvents) {
        this.outcomes = lines.stream()
                .filter(line ->
                        line.field("event").filter(outcomeEvents::contains).isPresent())
                .sorted(Comparator.comparing(LogLine::time))
                .toList();
        this.leftOut = lines.stream()
                .filter(line -> line.has("event", "lines_left_out"))
                .toList();
    }

    /** Prints one table for each property and measurement, and how many lines the processes left out. */
    void print(PrintStream output) {
        for (Grouping grouping : Grouping.values()) {
            tableOf(grouping).print(output);
            output.println();
        }
        for (Measurement measurement : Measurement.values()) {
            tableOf(measurement).print(output);
            output.println();
        }
        tableOfLinesLeftOut().print(output);
    }

    private Table tableOf(Grouping grouping) {
        Comparator<GroupKey> order = Comparator.comparing(GroupKey::value).thenComparing(GroupKey::outcome);
        Map<GroupKey, Group> groups = new TreeMap<>(order);
        outcomes.forEach(line -> count(groups, new GroupKey(event(line), grouping.key.apply(line)), line));
        Table table = new Table(grouping.title, "outcome", "requests", "example");
        groups.forEach((key, group) -> table.add(key.value(), key.outcome(), group.count, group.exampleRequest));
        return table;
    }

    private Table tableOf(Measurement measurement) {
        Map<Long, Group> groups = new TreeMap<>();
        outcomes.stream()
                .filter(line -> line.has("event", LATE))
                .forEach(line -> measurement.rangeStart(line).ifPresent(start -> count(groups, start, line)));
        Table table = new Table("late " + measurement.field, "requests", "example");
        groups.forEach((start, group) ->
                table.add(start + " to " + (start + measurement.rangeWidth - 1), group.count, group.exampleRequest));
        return table;
    }

    private Table tableOfLinesLeftOut() {
        Map<String, Integer> counts = new TreeMap<>();
        leftOut.forEach(line -> counts.merge(line.field("kind").orElse(NONE), leftOutCount(line), Integer::sum));
        Table table = new Table("lines left out", "requests");
        counts.forEach(table::add);
        return table;
    }

    private static <K> void count(Map<K, Group> groups, K key, LogLine line) {
        groups.computeIfAbsent(key, unused -> new Group(line.field("request").orElse(NONE))).count++;
    }

    private static int leftOutCount(LogLine line) {
        return line.field("count")
                .filter(value -> value.matches("\\d{1,9}"))
                .map(Integer::parseInt)
                .orElse(0);
    }

    private static String event(LogLine line) {
        return line.field("event").orElse(NONE);
    }

    /** Returns the reason without the instance that it names, so that equal causes are counted together. */
    private static String reason(LogLine line) {
        return line.field("reason")
                .or(() -> line.field("missed"))
                .map(reason -> reason.replaceFirst(" of \\S+$", ""))
                .orElse(NONE);
    }

    /** Returns the model of a target, which may be one of its adapters. */
    private static String model(String target) {
        int separator = target.indexOf('/');
        return separator < 0 ? target : target.substring(0, separator);
    }
}
