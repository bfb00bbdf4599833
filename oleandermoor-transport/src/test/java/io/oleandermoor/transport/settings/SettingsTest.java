package io.oleandermoor.transport.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.oleandermoor.state.finding.Finding;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.KeyHash;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsTest {

    private static final KeyHash HASH = KeyHash.of("credential");

    private static final String AGENT = """
            # An agent beside an engine.
            [process]
            instance-id = agent-1
            failure-domain = cymru-1
            region = cymru-west

            [listen]
            admin = 127.0.0.1:9001
            peer = 127.0.0.1:9002

            [platform]
            key-value-service = 127.0.0.1:2379
            instance-list = [::1]:8500

            [upstream]
            id = engine-1
            kind = ENGINE
            address = 127.0.0.1:8000
            memory = 80GB

            [administration]
            credential-hash = %s
            """.formatted(HASH.value());

    private static Settings read(String text, String... overrides) throws InvalidInputException {
        return new SettingsReader(AgentSettings.SCHEMA).read("agent.ini", text, List.of(overrides));
    }

    private static List<String> problems(String text, String... overrides) {
        return catchThrowableOfType(InvalidInputException.class, () -> read(text, overrides)).findings().stream()
                .map(Finding::toString)
                .toList();
    }

    @Nested
    class Values {

        /** Guards against values that are read with a wrong unit or from the wrong place. */
        @Test
        void areTyped() throws InvalidInputException {
            Settings settings = read(AGENT, "drain.limit=5min", "listen.peer=0.0.0.0:0");
            assertThat(settings.get(AgentSettings.MEMORY)).isEqualTo(80L << 30);
            assertThat(settings.get(CommonSettings.DRAIN_LIMIT)).isEqualTo(Duration.ofMinutes(5));
            assertThat(settings.get(CommonSettings.PLATFORM_TIMEOUT)).isEqualTo(Duration.ofSeconds(1));
            assertThat(settings.get(AgentSettings.UPSTREAM_KIND)).isEqualTo(UpstreamKind.ENGINE);
            assertThat(settings.get(CommonSettings.INSTANCE_LIST)
                            .toSocketAddress()
                            .isUnresolved())
                    .isFalse();
            assertThat(settings.find(AgentSettings.SERVICE_NAME)).isEmpty();
            assertThatThrownBy(() -> settings.get(EntrySettings.BODY_LIMIT))
                    .isInstanceOf(IllegalArgumentException.class);
        }

        /** Guards against an operator not seeing which value is in force, and against a full hash being shown. */
        @Test
        void arePrintedWithTheirOrigin() throws InvalidInputException {
            String text = read(AGENT, "upstream.slots=8").print();
            assertThat(text)
                    .contains(
                            "[process]\n# agent.ini:3:\ninstance-id = agent-1\n",
                            "# agent.ini:13:\ninstance-list = [::1]:8500\n",
                            "# command line:\nslots = 8\n",
                            "# default:\nlimit = 30s\n",
                            "# service is not set\n",
                            "# agent.ini:22:\ncredential-hash = " + HASH + "\n")
                    .doesNotContain(HASH.value());
        }

        /** Guards against printed values that mean something else when they are read, such as sizes without a unit. */
        @Test
        void arePrintedInTheFormThatIsRead() throws InvalidInputException {
            Settings settings = read(AGENT, "drain.limit=90s", "upstream.memory=1536MB", "platform.timeout=0s");
            Settings again = read(settings.print(), "administration.credential-hash=" + HASH.value());
            for (Setting<?> setting : AgentSettings.SCHEMA.settings()) {
                assertThat((Object) again.find(setting)).as(setting.name()).isEqualTo(settings.find(setting));
            }
        }
    }

    @Nested
    class Problems {

        /** Guards against a reader that stops at the first problem or does not name file and line. */
        @Test
        void areReportedTogether() {
            String text = AGENT.replace("memory = 80GB", "memory = 80\nspeed = fast")
                            .replace("kind = ENGINE", "kind = MOTOR")
                            .replace("region = cymru-west\n", "")
                            .replace("admin = 127.0.0.1:9001", "admin = localhost:9001\nadmin = 127.0.0.1:9001")
                    + "[drain]\nlimit = 30\n[other]\nkey =\n";
            assertThat(problems(text, "nothing"))
                    .containsExactlyInAnyOrder(
                            "ERROR agent.ini:8 listen.admin: is given twice",
                            "ERROR command line: 'nothing' must have the form section.key=value",
                            "ERROR process.region: is missing; it is the identifier for:"
                                    + " Region that the failure domain is in.",
                            "ERROR agent.ini:17 upstream.kind: 'MOTOR' must be one of ENGINE, SERVICE",
                            "ERROR agent.ini:19 upstream.memory: '80' must be a size such as 512B, 64KB, 64MB or 80GB",
                            "ERROR agent.ini:25 drain.limit: '30' must be a duration such as 500ms, 10s, 5min or 2h",
                            "ERROR agent.ini:20 upstream.speed: is not a setting of role agent",
                            "ERROR agent.ini:27 other.key: is not a setting of role agent");
        }

        /** Guards against a time limit that outlasts the records that keep calls from running twice. */
        @Test
        void includeARequestTimeBeyondAnHour() {
            String entry = AGENT.replaceAll("(?s)\\[upstream].*?\\n\\n", "")
                    .replace("[listen]", "[limits]\nrequest-time = 61min\n[listen]\ncaller = 127.0.0.1:9003");
            SettingsReader reader = new SettingsReader(EntrySettings.SCHEMA);
            assertThatThrownBy(() -> reader.read("entry.ini", entry, List.of()))
                    .hasMessageContaining("entry.ini:8 limits.request-time: must be more than 0ms and at most 1h");
            assertThatCode(() -> reader.read("entry.ini", entry, List.of("limits.request-time=1h")))
                    .doesNotThrowAnyException();
        }

        /** Guards against a misplaced setting being overlooked or reported under another name. */
        @Test
        void includeSettingsOutsideOfTheirSection() {
            String text = "stray = 1\n" + AGENT + "[a.b]\nc.d = \"1, 2\"\n[Listen]\nADMIN = 1 ; comment\nnothing\n";
            assertThat(problems(text))
                    .containsExactlyInAnyOrder(
                            "ERROR agent.ini:1 .stray: is not a setting of role agent",
                            "ERROR agent.ini:25 a.b.c.d: is not a setting of role agent",
                            "ERROR agent.ini:27 Listen.ADMIN: is not a setting of role agent",
                            "ERROR agent.ini:28 Listen.nothing: is not a setting of role agent");
        }

        /** Guards against a process that fails to listen only after it has started. */
        @Test
        void includeTheSamePortTwice() {
            assertThat(problems(AGENT.replace("9002", "9001")))
                    .containsExactly("ERROR agent.ini:9 listen.peer: 127.0.0.1:9001 clashes with 127.0.0.1:9001"
                            + " of agent.ini:8 listen.admin");
            assertThat(problems(AGENT, "listen.peer=0.0.0.0:9001")).hasSize(1);
            assertThat(problems(AGENT, "listen.peer=127.0.0.1:9001", "listen.admin=0.0.0.0:9001"))
                    .hasSize(1);
        }

        /** Guards against an agent that starts without what its kind of upstream needs. */
        @Test
        void includeWhatTheKindOfUpstreamNeeds() {
            assertThat(problems(AGENT, "upstream.kind=SERVICE"))
                    .containsExactly(
                            "ERROR upstream.service: is missing for an upstream of kind SERVICE",
                            "ERROR agent.ini:19 upstream.memory: must not be set for an upstream of kind SERVICE");
        }

        /** Guards against names, missing ports and overflowing numbers being accepted. */
        @Test
        void includeWrongForms() {
            assertThat(problems(AGENT, "platform.instance-list=127.0.0.1")).hasSize(1);
            assertThat(problems(AGENT, "platform.instance-list=127.0.0.1:65536"))
                    .hasSize(1);
            assertThat(problems(AGENT, "platform.instance-list=::1:80")).hasSize(1);
            assertThat(problems(AGENT, "upstream.memory=999999999999999GB")).hasSize(1);
            assertThat(problems(AGENT, "upstream.slots=0")).hasSize(1);
            assertThat(problems(AGENT, "process.instance-id=")).hasSize(1);
        }
    }

    @Nested
    class SettingsFiles {

        /** Guards against file names missing from findings when a file is read from disk. */
        @Test
        void areReadFromDisk(@TempDir Path directory) throws Exception {
            Path file = directory.resolve("wrong.ini");
            Files.writeString(file, "[listen]\naddress = here\n", StandardCharsets.UTF_8);
            SettingsReader reader = new SettingsReader(StandinSettings.INSTANCE_LIST);
            assertThatThrownBy(() -> reader.read(file, List.of())).hasMessageContaining("wrong.ini:2 listen.address");
            assertThat(reader.read(file, List.of("listen.address=127.0.0.1:0")).get(StandinSettings.LIST_LAG))
                    .isEqualTo(Duration.ofSeconds(2));
        }

        /** Guards against a page that does not describe the settings of this version. */
        @Test
        void pageIsUpToDate() throws Exception {
            assertThat(SettingsPage.print(RoleSchemas.all()))
                    .as("docs/settings.md; print it with SettingsPage")
                    .isEqualTo(Files.readString(Path.of("..", "docs", "settings.md")));
        }
    }
}
