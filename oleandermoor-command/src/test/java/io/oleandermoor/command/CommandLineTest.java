package io.oleandermoor.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.settings.SettingsSchema;
import io.oleandermoor.transport.settings.StandinSettings;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandLineTest {

    private static final String DOCUMENT = """
            {"teams": [{"name": "cafe", "rate": 5, "burst": 6}],
             "models": [{"name": "m", "version": "1", "memoryMegabytes": 7}]}""";

    @TempDir
    private Path directory;

    private AdministrationServer server;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @BeforeEach
    void startServer() throws IOException {
        server = new AdministrationServer();
    }

    @AfterEach
    void stopServer() {
        server.close();
    }

    private ExitCode run(String... arguments) {
        return runWith(
                Map.of(
                        RemoteCommand.ADDRESS_VARIABLE,
                        server.address(),
                        RemoteCommand.CREDENTIAL_VARIABLE,
                        AdministrationServer.CREDENTIAL,
                        "USER",
                        "operator"),
                arguments);
    }

    private ExitCode runWith(Map<String, String> environment, String... arguments) {
        output.reset();
        errors.reset();
        DaemonRegistry daemons = new DaemonRegistry(List.of(new Launcher()));
        CommandContext context = new CommandContext(
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8),
                environment,
                new SecureRandom(),
                daemons,
                Duration.ofMillis(1));
        return new CommandLine(context).run(arguments);
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return errors.toString(StandardCharsets.UTF_8);
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    private ExitCode putTeam(String... more) {
        String[] arguments = {"team", "put", "cafe", "--rate", "5", "--burst", "6"};
        String[] all =
                Stream.concat(Arrays.stream(arguments), Arrays.stream(more)).toArray(String[]::new);
        return run(all);
    }

    @Nested
    class Usage {

        /** Guards against a wrong command line that looks like success or like a failed command. */
        @Test
        void wrongCommandLinesHaveTheirOwnStatus() {
            for (String[] arguments : List.of(
                    new String[] {},
                    new String[] {"nothing"},
                    new String[] {"team"},
                    new String[] {"team", "put"},
                    new String[] {"team", "put", "cafe", "--rate", "many", "--burst", "6"},
                    new String[] {"team", "put", "not valid", "--rate", "5", "--burst", "6"},
                    new String[] {"validate"},
                    new String[] {"run", "entry"},
                    new String[] {"run", "nothing", "file"},
                    new String[] {"nothing", "--help"},
                    new String[] {"status", "--address", "localhost:80"})) {
                assertThat(run(arguments)).as(String.join(" ", arguments)).isEqualTo(ExitCode.USAGE);
                assertThat(errors()).as(String.join(" ", arguments)).isNotEmpty();
            }
            assertThat(runWith(Map.of(), "status")).isEqualTo(ExitCode.USAGE);
        }

        /** Guards against a command without help. */
        @Test
        void everyCommandHasHelp() {
            assertThat(run("help")).isEqualTo(ExitCode.OK);
            assertThat(output())
                    .contains("validate", "apply", "check-settings", "team", "key", "model", "adapter", "route");
            assertThat(run("team", "put", "--help")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("--rate", "--burst", "--change-id", "--credential-file");
            assertThat(run("help", "key")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("issue", "revoke", "list");
            assertThat(run("apply", "file", "-h")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("<file>");
            assertThat(run("--version")).isEqualTo(ExitCode.OK);
            assertThat(output()).startsWith("oleandermoor ");
        }
    }

    @Nested
    class Documents {

        /** Guards against an operator seeing only one problem, or no file and line. */
        @Test
        void validateReportsEveryProblem() throws IOException {
            String wrong = file("wrong.json", "{\"teams\": [{\"name\": \"cafe\", \"rate\": -1}],\n \"model\": []}");
            assertThat(run("validate", wrong)).isEqualTo(ExitCode.FAILED);
            assertThat(errors())
                    .contains("teams[0].burst", "teams[0].rate (line 1,", "model (line 2,", "wrong.json: ERROR");
            assertThat(run("validate", file("right.json", DOCUMENT))).isEqualTo(ExitCode.OK);
            assertThat(run("validate", "missing.json")).isEqualTo(ExitCode.FAILED);
        }

        /** Guards against a document that is shown but not applied, applied twice, or revokes keys that it omits. */
        @Test
        void diffAndApplyAgree() throws IOException {
            String document = file("document.json", DOCUMENT);
            assertThat(run("diff", document)).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("against version 0", "add team cafe", "add model m");
            assertThat(server.current().version()).isZero();

            assertThat(run("apply", document)).isEqualTo(ExitCode.OK);
            assertThat(errors()).contains("accepted as version 1");
            assertThat(run("key", "issue", "cafe")).isEqualTo(ExitCode.OK);
            assertThat(run("apply", document)).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("no changes");
            assertThat(server.current().keys()).hasSize(1);
            assertThat(run("apply", "--expected-version", "1", file("empty.json", "{}")))
                    .isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("version 2 is in force");
        }
    }

    @Nested
    class Administration {

        /** Guards against commands that do not have the effect that they report. */
        @Test
        void everyElementCanBeChangedAndListed() {
            assertThat(putTeam("--weight", "3")).isEqualTo(ExitCode.OK);
            assertThat(run("model", "put", "m", "--model-version", "2", "--memory-megabytes", "100"))
                    .isEqualTo(ExitCode.OK);
            assertThat(run("adapter", "put", "a", "--model", "m", "--adapter-version", "1", "--memory-megabytes", "5"))
                    .isEqualTo(ExitCode.OK);
            assertThat(run(
                            "route",
                            "put",
                            "r",
                            "--method",
                            "POST",
                            "--path",
                            "/r",
                            "--service",
                            "s",
                            "--require-idempotency-key"))
                    .isEqualTo(ExitCode.OK);
            assertThat(run("team", "list")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("cafe  5     6      3");
            assertThat(run("model", "list")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("m ", "100");
            assertThat(run("adapter", "list")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("a ", " m ");
            assertThat(run("route", "list")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("AT_MOST_ONCE", "true");
            assertThat(run("model", "remove", "m")).isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("model 'm' is not defined", "nothing was changed");
            assertThat(run("adapter", "remove", "a")).isEqualTo(ExitCode.OK);
            assertThat(run("model", "remove", "m")).isEqualTo(ExitCode.OK);
            assertThat(run("route", "remove", "r")).isEqualTo(ExitCode.OK);
            assertThat(run("team", "remove", "cafe")).isEqualTo(ExitCode.OK);
            assertThat(server.current().toDocument().teams()).isEmpty();
        }

        /** Guards against a printed key that does not work, or that can be seen again later. */
        @Test
        void keysAreShownOnce() {
            putTeam();
            assertThat(run("key", "issue", "cafe", "--id", "key-1")).isEqualTo(ExitCode.OK);
            String key = output().strip();
            assertThat(server.current().key(KeyHash.of(key))).isPresent();
            assertThat(run("key", "list")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("key-1").doesNotContain(key);
            assertThat(run("key", "revoke", "key-1")).isEqualTo(ExitCode.OK);
            assertThat(server.current().keys()).isEmpty();
        }

        /** Guards against the version of a process that is behind being overlooked. */
        @Test
        void statusShowsWhatIsInForceWhere() {
            putTeam();
            assertThat(run("status")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("entry-1", "agent-1", "version 1 is in force in 1 of 2 processes");
        }

        /** Guards against a credential that is accepted from the command line or ignored in a file. */
        @Test
        void credentialComesFromTheEnvironmentOrAFile() throws IOException {
            String credential = file("credential", AdministrationServer.CREDENTIAL + "\n");
            Map<String, String> address = Map.of(RemoteCommand.ADDRESS_VARIABLE, server.address());
            assertThat(runWith(address, "status", "--credential-file", credential))
                    .isEqualTo(ExitCode.OK);
            assertThat(runWith(address, "status", "--credential-file", file("wrong", "other")))
                    .isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("credential is missing or wrong");
            assertThat(runWith(address, "status", "--credential", "credential")).isEqualTo(ExitCode.USAGE);
        }
    }

    @Nested
    class LostAnswers {

        /** Guards against an accepted change being reported as failed, which would invite a second one. */
        @Test
        void acceptedChangesAreFound() {
            server.loseAnswers(2);
            assertThat(putTeam()).isEqualTo(ExitCode.OK);
            assertThat(errors()).contains("the answer was lost", "accepted as version 1");
            assertThat(server.current().version()).isEqualTo(1);
        }

        /** Guards against a lost change being reported as accepted, and against a repeat that changes twice. */
        @Test
        void lostChangesCanBeRepeated() {
            server.loseChanges(1);
            assertThat(putTeam("--change-id", "change-1")).isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("is not accepted so far", "--change-id change-1");
            assertThat(putTeam("--change-id", "change-1")).isEqualTo(ExitCode.OK);
            assertThat(putTeam("--change-id", "change-1")).isEqualTo(ExitCode.OK);
            assertThat(server.current().version()).isEqualTo(1);
        }

        /** Guards against a key being shown although it is not in force, or repeated with another key. */
        @Test
        void keysOfUnknownOutcomeAreNotShown() {
            putTeam();
            server.loseChanges(1);
            assertThat(run("key", "issue", "cafe", "--id", "key-1")).isEqualTo(ExitCode.FAILED);
            assertThat(output()).isEmpty();
            assertThat(errors()).contains("revoke key key-1");
            assertThat(run("key", "issue", "cafe", "--change-id", "change-1")).isEqualTo(ExitCode.USAGE);
        }

        /** Guards against an endless wait, or a claim about the outcome, when no question is answered. */
        @Test
        void unknownOutcomesAreReportedAsUnknown() {
            server.loseAnswers(100);
            assertThat(putTeam("--change-id", "change-1")).isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("whether change change-1 is accepted is not known");
        }

        /** Guards against a refused connection being reported as an unknown outcome. */
        @Test
        void refusedConnectionsChangeNothing() throws IOException {
            int port;
            try (ServerSocket socket = new ServerSocket(0)) {
                port = socket.getLocalPort();
            }
            assertThat(putTeam("--address", "127.0.0.1:" + port)).isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("cannot connect", "nothing was changed");
        }
    }

    @Nested
    class Processes {

        /** Guards against settings that are checked but not those that the process receives. */
        @Test
        void settingsAreCheckedAndHandedOver() throws IOException {
            String right = file("right.ini", "[listen]\naddress = 127.0.0.1:0\n");
            String wrong = file("wrong.ini", "[listen]\nadress = 127.0.0.1:0\n");
            assertThat(run("check-settings", "standin-instance-list", right, "instance-list.lag=3s"))
                    .isEqualTo(ExitCode.OK);
            assertThat(output()).contains("# right.ini:2:\naddress = 127.0.0.1:0", "# command line:\nlag = 3s");
            assertThat(run("check-settings", "standin-instance-list", wrong)).isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("wrong.ini:2 listen.adress", "listen.address: is missing");
            assertThat(run("run", "standin-instance-list", right, "instance-list.lag=3s"))
                    .isEqualTo(ExitCode.OK);
            assertThat(run("run", "standin-instance-list", right)).isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("lag is PT2S");
        }
    }

    /** Succeeds only with a certain setting. */
    private static final class Launcher implements DaemonLauncher {

        @Override
        public SettingsSchema schema() {
            return StandinSettings.INSTANCE_LIST;
        }

        @Override
        public ExitCode launch(Settings settings) throws CommandFailedException {
            Duration lag = settings.get(StandinSettings.LIST_LAG);
            if (!lag.equals(Duration.ofSeconds(3))) {
                throw new CommandFailedException("lag is " + lag);
            }
            return ExitCode.OK;
        }
    }
}
