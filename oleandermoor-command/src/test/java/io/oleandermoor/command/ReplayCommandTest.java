package io.oleandermoor.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the commands that replay traces. */
final class ReplayCommandTest {

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private ExitCode run(String... arguments) {
        CommandContext context = new CommandContext(
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8),
                Map.of(),
                new SecureRandom(),
                new DaemonRegistry(List.of()),
                Duration.ofMillis(1));
        return new CommandLine(context).run(arguments);
    }

    /** Guards against a file that the reader does not accept, and against a default command that is not found. */
    @Test
    void generatesAndReplaysATrace() {
        String file = directory.resolve("trace.jsonl").toString();
        assertThat(run("replay", "generate", "--scenario", "overload", "--seed", "2", file))
                .isEqualTo(ExitCode.OK);
        assertThat(run("replay", file)).isEqualTo(ExitCode.OK);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("tokens over the limit 0", "invariants hold");
    }

    /** Guards against baselines that are left out of the comparison. */
    @Test
    void comparesWithTheBaselines() {
        String file = directory.resolve("trace.jsonl").toString();
        assertThat(run("replay", "generate", "--scenario", "crashing-request", file))
                .isEqualTo(ExitCode.OK);
        assertThat(run("replay", "compare", file)).isEqualTo(ExitCode.OK);
        assertThat(output.toString(StandardCharsets.UTF_8))
                .contains(
                        "routing ROUND_ROBIN",
                        "routing LEAST_LOADED",
                        "rate FIXED_SHARE",
                        "admission FIRST_COME",
                        "placement STATIC",
                        "placement LEAST_LOADED");
    }

    /** Guards against a report without the command that made it, and against one that changes the figures. */
    @Test
    void writesReports() throws Exception {
        String file = directory.resolve("trace.jsonl").toString();
        Path page = directory.resolve("report.html");
        assertThat(run("replay", "generate", "--scenario", "crashing-request", file))
                .isEqualTo(ExitCode.OK);
        assertThat(run("replay", file)).isEqualTo(ExitCode.OK);
        String figures = output.toString(StandardCharsets.UTF_8);
        output.reset();
        assertThat(run("replay", file, "--report", page.toString())).isEqualTo(ExitCode.OK);
        assertThat(output.toString(StandardCharsets.UTF_8)).isEqualTo(figures);
        assertThat(page).content().contains("--seed 1 --report", "SHA-256", "Residency by model");
        assertThat(run("replay", "compare", file, "--report", page.toString())).isEqualTo(ExitCode.OK);
        assertThat(page).content().contains("replay compare", "rate FIXED_SHARE", "standard deviation");
    }

    /** Guards against a damaged trace that counts as a success, and against findings without a line. */
    @Test
    void failsForADamagedTrace() throws Exception {
        Path file = directory.resolve("trace.jsonl");
        Files.writeString(file, "{}\n");
        assertThat(run("replay", file.toString())).isEqualTo(ExitCode.FAILED);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("trace.jsonl:1");
        assertThat(run("replay", "generate", "--scenario", "nothing", file.toString()))
                .isEqualTo(ExitCode.FAILED);
    }
}
