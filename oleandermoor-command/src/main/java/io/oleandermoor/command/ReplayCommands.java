package io.oleandermoor.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.oleandermoor.replay.Comparison;
import io.oleandermoor.replay.Policies;
import io.oleandermoor.replay.ReplayResult;
import io.oleandermoor.replay.ReplayRunner;
import io.oleandermoor.replay.Scenario;
import io.oleandermoor.replay.Site;
import io.oleandermoor.replay.TraceGenerator;
import io.oleandermoor.replay.TraceJson;
import io.oleandermoor.replay.TraceReader;
import io.oleandermoor.replay.TraceSource;
import io.oleandermoor.replay.report.ComparisonReport;
import io.oleandermoor.replay.report.ReplayReport;
import io.oleandermoor.replay.report.ReportOrigin;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.io.InputStream;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Commands that replay traces. */
final class ReplayCommands {

    private ReplayCommands() {}

    private static TraceSource open(@Nullable String file) throws IOException, InvalidInputException {
        String name = Objects.requireNonNull(file, "file");
        return new TraceReader(Files.newBufferedReader(Path.of(name)), name);
    }

    /** Returns the name of a trace and a checksum that tells whether another file is the same trace. */
    private static String describe(String file) throws IOException {
        try (InputStream stream = Files.newInputStream(Path.of(file))) {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] buffer = new byte[1 << 16];
            for (int count = stream.read(buffer); count >= 0; count = stream.read(buffer)) {
                digest.update(buffer, 0, count);
            }
            return file + ", SHA-256 " + HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }

    private static <E extends Enum<E>> E choose(Class<E> type, String text) throws CommandFailedException {
        for (E value : type.getEnumConstants()) {
            if (text(value).equals(text)) {
                return value;
            }
        }
        throw new CommandFailedException("'" + text + "' is none of "
                + String.join(
                        ", ",
                        Arrays.stream(type.getEnumConstants())
                                .map(ReplayCommands::text)
                                .toList()));
    }

    private static String text(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Replays one trace. */
    @Command(name = "run", description = "Replays a trace; fails if an invariant is broken")
    public static final class Run implements CommandAction {

        @Required
        @Arguments(title = "trace", description = "The trace")
        private @Nullable String file;

        @Option(name = "--seed", title = "number", description = "Seed of random choices; default is 1")
        private long seed = 1;

        @Option(name = "--report", title = "file", description = "Writes an HTML page with plots to this file")
        private @Nullable String report;

        @Override
        public ExitCode run(CommandContext context) throws IOException, InvalidInputException {
            String name = Objects.requireNonNull(file, "file");
            try (TraceSource source = open(name)) {
                ReplayRunner runner = new ReplayRunner(source, Policies.STANDARD, seed);
                ReplayResult result = runner.run();
                context.output().println(result.toText());
                if (report != null) {
                    ReportOrigin origin = new ReportOrigin(
                            describe(name),
                            Long.toString(seed),
                            String.format("oleandermoor replay %s --seed %d --report %s", name, seed, report),
                            Version.text());
                    new ReplayReport(origin, Policies.STANDARD, source.deployment(), result, runner.timeline())
                            .write(Path.of(report));
                }
                return result.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
            }
        }
    }

    /** Writes a generated trace. */
    @Command(name = "generate", description = "Writes a trace that is generated from a seed")
    public static final class Generate implements CommandAction {

        @Required
        @Arguments(title = "trace", description = "The file to write")
        private @Nullable String file;

        @Option(name = "--site", title = "site", description = "cymru-west (default) or dk-jylland")
        private String site = "cymru-west";

        @Option(name = "--scenario", title = "scenario", description = "What happens; default is day")
        private String scenario = "day";

        @Option(name = "--seed", title = "number", description = "Seed of the trace; default is 1")
        private long seed = 1;

        @Override
        public ExitCode run(CommandContext context) throws CommandFailedException, IOException, InvalidInputException {
            TraceSource source = new TraceGenerator(choose(Site.class, site), choose(Scenario.class, scenario), seed);
            try (Writer writer = Files.newBufferedWriter(Path.of(Objects.requireNonNull(file, "file")))) {
                TraceJson.write(source, writer);
            }
            return ExitCode.OK;
        }
    }

    /** Compares with the baselines. */
    @Command(name = "compare", description = "Replays a trace, or generated ones, with the baseline policies too")
    public static final class Compare implements CommandAction {

        @Arguments(title = "trace", description = "The trace; without it, one is generated for each seed")
        private @Nullable String file;

        @Option(name = "--site", title = "site", description = "cymru-west (default) or dk-jylland")
        private String site = "cymru-west";

        @Option(name = "--scenario", title = "scenario", description = "What happens; default is day")
        private String scenario = "day";

        @Option(name = "--seed", title = "number", description = "The first seed; default is 1")
        private long seed = 1;

        @Option(name = "--seeds", title = "number", description = "Number of seeds; default is 1")
        private int seeds = 1;

        @Option(name = "--report", title = "file", description = "Writes an HTML page with plots to this file")
        private @Nullable String report;

        @Override
        public ExitCode run(CommandContext context) throws CommandFailedException, IOException, InvalidInputException {
            if (seeds <= 0) {
                throw new CommandFailedException("--seeds must be positive");
            }
            Site chosenSite = choose(Site.class, site);
            Scenario chosenScenario = choose(Scenario.class, scenario);
            Comparison comparison = Comparison.run(
                    number -> file == null ? new TraceGenerator(chosenSite, chosenScenario, number) : open(file),
                    seed,
                    seeds);
            context.output().print(comparison.toText());
            if (report != null) {
                new ComparisonReport(origin(report), comparison).write(Path.of(report));
            }
            return ExitCode.OK;
        }

        private ReportOrigin origin(String page) throws IOException {
            String generated = "--site " + site + " --scenario " + scenario;
            return new ReportOrigin(
                    file == null ? "generated for each seed: " + generated : describe(file),
                    seeds == 1 ? Long.toString(seed) : seed + " to " + (seed + seeds - 1),
                    String.format(
                            "oleandermoor replay compare %s --seed %d --seeds %d --report %s",
                            file == null ? generated : file, seed, seeds, page),
                    Version.text());
        }
    }
}
