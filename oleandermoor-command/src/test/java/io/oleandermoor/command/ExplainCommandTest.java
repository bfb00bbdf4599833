package io.oleandermoor.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {

    private static final String FIRST_ENTRY = """
            time=2026-01-01T10:00:01.000Z INFO FleetFollower event=instance instance=i-1 service=words draining=false
            time=2026-01-01T10:00:02.500Z INFO requests event=repeat request=r-1 reason="connection ended in the answer of i-1" sends=1
            time=2026-01-01T10:00:02.600Z INFO requests event=failed request=r-1 reason="no_place_FULL" after_ms=900 sends=1
            time=2026-01-01T10:00:03.000Z INFO requests event=refused request=r-2 reason=no_place_NOT_RESIDENT waiting=3 version=5
            """;
    private static final String SECOND_ENTRY = """
            time=2026-01-01T10:00:02.400Z WARN SilenceWatch event=instance_silent instance=i-1 attempts=4 silent_ms=800
            time=2026-01-01T10:00:02.700Z INFO SilenceWatch event=instance_silent instance=i-9 attempts=1 silent_ms=800
            time=2026-01-01T10:00:04.000Z INFO requests event=lines_left_out kind=late count=7
            """;

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private ExitCode explain(String... words) throws IOException {
        return explainLog(FIRST_ENTRY, words);
    }

    private ExitCode explainLog(String firstEntry, String... words) throws IOException {
        Path first = Files.writeString(directory.resolve("first.log"), firstEntry);
        Path second = Files.writeString(directory.resolve("second.log"), SECOND_ENTRY);
        CommandContext context = new CommandContext(
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8),
                Map.of(),
                new SecureRandom(),
                new DaemonRegistry(List.of()),
                Duration.ofMillis(1));
        String[] arguments = words.length == 0
                ? new String[] {"explain"}
                : new String[] {"explain", words[0], first.toString(), second.toString()};
        return new CommandLine(context).run(arguments);
    }

    @Nested
    class OfARequest {

        /** Guards against a cause in another process's log that is missed or told out of order. */
        @Test
        void putsTheLinesOfAllFilesInOrderWithThoseOfItsInstances() throws IOException {
            assertThat(explain("r-1")).isEqualTo(ExitCode.OK);
            assertThat(output.toString(StandardCharsets.UTF_8).lines())
                    .extracting(line -> line.replaceAll(".*event=(\\w+).*", "$1"))
                    .containsExactly(
                            "instance",
                            "instance_silent",
                            "repeat",
                            "failed",
                            "outcome=\"failed, may have run\" decided_by=\"no_place_FULL\"");
        }

        @Test
        void namesWhatDecidedARefusal() throws IOException {
            assertThat(explain("r-2")).isEqualTo(ExitCode.OK);
            assertThat(output.toString(StandardCharsets.UTF_8))
                    .endsWith("outcome=\"refused, has not run\" decided_by=\"no_place_NOT_RESIDENT\"\n");
        }
    }

    @Nested
    class OfNothing {

        /** Guards against silence about a request whose line was left out under load. */
        @Test
        void saysThatALineMayHaveBeenLeftOut() throws IOException {
            assertThat(explain("r-3")).isEqualTo(ExitCode.FAILED);
            assertThat(errors.toString(StandardCharsets.UTF_8)).contains("r-3").contains("among 1 times");
        }

        @Test
        void needsARequestAndAFile() throws IOException {
            assertThat(explain()).isNotEqualTo(ExitCode.OK);
        }
    }

    @Nested
    class Summary {

        private static final String LOG = """
                time=2026-01-01T10:00:03.000Z INFO requests event=refused request=r-1 route=drafts team=shop target=m-1/a-2 reason=no_place_FULL
                time=2026-01-01T10:00:03.100Z INFO requests event=refused request=r-2 route=drafts team=shop target=m-1 reason=no_place_FULL
                time=2026-01-01T10:00:04.000Z INFO requests event=failed request=r-3 route=orders team=van target=- reason="status_500 of i-7"
                time=2026-01-01T10:00:04.000Z INFO requests event=late request=r-4 route=drafts team=shop target=m-2 missed=EVENT_INTERVAL first_ms=90 pause_ms=310 load_sent=27
                time=2026-01-01T10:00:04.000Z INFO requests event=late request=r-5 route=drafts team=shop target=m-2 missed=BOTH first_ms=900 pause_ms=480 load_sent=64
                """;

        private List<String> rows() throws IOException {
            assertThat(explainLog(LOG, "--summary")).isEqualTo(ExitCode.OK);
            return output.toString(StandardCharsets.UTF_8)
                    .lines()
                    .map(line -> line.replaceAll(" +", " "))
                    .toList();
        }

        /** Guards against equal causes that are counted apart because a reason names an instance. */
        @Test
        void countsOutcomesByReasonWithAnExample() throws IOException {
            assertThat(rows())
                    .contains(
                            "no_place_FULL refused 2 r-1",
                            "status_500 failed 1 r-3",
                            "EVENT_INTERVAL late 1 r-4",
                            "BOTH late 1 r-5");
        }

        /** Guards against adapters that hide how many requests the copies of their model could not take. */
        @Test
        void countsAdaptersWithTheirModel() throws IOException {
            assertThat(rows()).contains("m-1 refused 2 r-1", "m-2 late 2 r-4");
        }

        @Test
        void countsOutcomesByRouteTeamAndSecond() throws IOException {
            assertThat(rows())
                    .contains("drafts refused 2 r-1", "van failed 1 r-3", "2026-01-01T10:00:03 refused 2 r-1");
        }

        @Test
        void countsLateStreamsByDelayAndLoad() throws IOException {
            assertThat(rows()).contains("0 to 249 1 r-4", "750 to 999 1 r-5", "250 to 499 2 r-4", "60 to 69 1 r-5");
        }

        /** Guards against a summary that passes for complete although lines are missing. */
        @Test
        void countsTheLinesThatWereLeftOut() throws IOException {
            assertThat(rows()).endsWith("late 7");
        }
    }
}
