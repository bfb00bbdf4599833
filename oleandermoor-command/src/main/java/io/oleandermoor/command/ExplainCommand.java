package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Puts together what the logs of all processes say of one request, and names the line that decided its outcome; or
 * counts the outcomes of all requests by their causes.
 */
@Command(name = "explain", description = "Shows from log files what became of a request and why")
public final class ExplainCommand implements CommandAction {

    /** The events that end a request, with what they mean to its caller. */
    private static final Map<String, String> OUTCOMES = Map.of(
            "refused", "refused, has not run",
            "failed", "failed, may have run",
            "timeout", "no answer within its time",
            "late", "answered, later than its route's targets",
            "over_rate", "refused, its team is over its rate",
            "unknown_key", "refused, its key is not in the configuration",
            "no_route", "refused, no route matches",
            "unavailable", "refused, the entry cannot serve");
    /** Events that tell what was believed of an instance. */
    private static final Set<String> INSTANCE_EVENTS = Set.of("instance", "instance_gone", "instance_silent");

    private static final String INSTANCE_MARK = " of ";

    @Option(
            name = "--summary",
            description =
                    "Counts all requests that were refused, failed or late by cause, route, team, model and second;"
                            + " all arguments are log files then")
    private boolean summary;

    @Required
    @Arguments(
            title = {"request", "file"},
            description = "The identifier of the request, and the log files of the processes")
    private List<String> words = new ArrayList<>();

    @Override
    public ExitCode run(CommandContext context) throws IOException, CommandFailedException {
        if (summary) {
            new OutcomeSummary(read(words), OUTCOMES.keySet()).print(context.output());
            return ExitCode.OK;
        }
        if (words.size() < 2) {
            throw new CommandFailedException("explain needs the identifier of a request and at least one log file");
        }
        String request = words.get(0);
        List<LogLine> lines = read(words.subList(1, words.size()));
        List<LogLine> own =
                lines.stream().filter(line -> line.has("request", request)).toList();
        if (own.isEmpty()) {
            long leftOut = lines.stream()
                    .filter(line -> line.has("event", "lines_left_out"))
                    .count();
            context.errors()
                    .println("no line names request " + request + ": it was answered on time, or its line is among "
                            + leftOut + " times that lines were left out");
            return ExitCode.FAILED;
        }
        Set<String> instances = instances(own);
        lines.stream()
                .filter(line -> own.contains(line) || tellsOf(line, instances))
                .sorted(Comparator.comparing(LogLine::time))
                .forEach(line -> context.output().println(line.text()));
        context.output().println(outcome(own));
        return ExitCode.OK;
    }

    private static List<LogLine> read(List<String> files) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            try (BufferedReader reader = Files.newBufferedReader(Path.of(file), StandardCharsets.UTF_8)) {
                reader.lines().map(LogLine::parse).forEach(lines::add);
            }
        }
        return lines;
    }

    /** Returns the instances that the lines name, in a field or at the end of a reason. */
    private static Set<String> instances(List<LogLine> lines) {
        Set<String> instances = new HashSet<>();
        for (LogLine line : lines) {
            line.field("instance").ifPresent(instances::add);
            line.field("reason")
                    .filter(reason -> reason.contains(INSTANCE_MARK))
                    .ifPresent(reason -> {
                        int mark = reason.lastIndexOf(INSTANCE_MARK);
                        instances.add(reason.substring(mark + INSTANCE_MARK.length()));
                    });
        }
        return instances;
    }

    private static boolean tellsOf(LogLine line, Set<String> instances) {
        return line.field("event").filter(INSTANCE_EVENTS::contains).isPresent()
                && line.field("instance").filter(instances::contains).isPresent();
    }

    private static String outcome(List<LogLine> own) {
        List<LogLine> ends = own.stream()
                .filter(line ->
                        line.field("event").filter(OUTCOMES::containsKey).isPresent())
                .sorted(Comparator.comparing(LogLine::time))
                .toList();
        if (ends.isEmpty()) {
            return "outcome=answered decided_by=none sends=" + (own.size() + 1);
        }
        LogLine last = ends.get(ends.size() - 1);
        String event = last.field("event").orElse("");
        String reason = last.field("reason").orElse(event);
        return "outcome=\"" + OUTCOMES.get(event) + "\" decided_by=\"" + reason + "\"";
    }
}
