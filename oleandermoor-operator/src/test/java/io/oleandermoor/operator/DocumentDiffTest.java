package io.oleandermoor.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.TeamName;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DocumentDiffTest {

    private static final TeamName CAFE = new TeamName("cafe");

    private static ConfigurationDocument document(long seed) throws Exception {
        Random random = new Random(seed);
        DeploymentBuilder builder = DeploymentBuilder.create();
        for (String team : List.of("cafe", "press", "shop")) {
            if (random.nextBoolean()) {
                builder.team(team).rate(1 + random.nextInt(3)).burst(5);
                KeyHash hash = KeyHash.of(team + random.nextInt(2));
                builder.key(new ApiKey("key-" + team, new TeamName(team), hash));
                if (random.nextBoolean()) {
                    builder.openingHours("group-" + random.nextInt(9) + "-" + team)
                            .member(team)
                            .opens("08:00")
                            .closes("1" + random.nextInt(9) + ":00")
                            .zone("UTC");
                }
            }
        }
        for (int model = 0; model < 3; model++) {
            if (random.nextBoolean()) {
                builder.model("m" + model).version("1").memoryMegabytes(1 + random.nextInt(2));
                if (random.nextBoolean()) {
                    builder.adapter("a" + random.nextInt(4) + model)
                            .of("m" + model)
                            .version("1")
                            .memoryMegabytes(1);
                }
            }
        }
        for (int route = 0; route < 2; route++) {
            if (random.nextBoolean()) {
                builder.route("r" + route).get().path("/p" + route).service("s").repeatable();
            }
        }
        if (random.nextBoolean()) {
            builder.admission().worstServedWeight(1 + random.nextInt(3));
        }
        return builder.build();
    }

    /** Guards against a diff that misses a difference or whose changes cannot be applied in their order. */
    @Property(seed = "20261204", tries = 500)
    void applyingTheDiffGivesTheDocument(@ForAll long before, @ForAll long after) throws Exception {
        Configuration inForce = Configuration.of(3, document(before));
        ConfigurationDocument wanted = document(after);
        ConfigurationListing listing =
                ConfigurationListing.read(OperatorJson.listing(inForce).getBytes(StandardCharsets.UTF_8));

        DocumentDiff diff = DocumentDiff.between(wanted, listing);

        Configuration result = inForce.apply(new ChangeSet("change", "author", diff.changes()));
        Configuration expected = Configuration.of(4, wanted);
        if (wanted.keys().isEmpty()) {
            assertThat(result.keys()).isEmpty();
        }
        assertThat(result.toDocument()).isEqualTo(expected.toDocument());
        assertThat(DocumentDiff.between(wanted, result).isEmpty()).isTrue();
    }

    /** Guards against a kind of change that is written but cannot be read by the entry. */
    @Property(seed = "20261204", tries = 200)
    void areReadBack(@ForAll long before, @ForAll long after) throws Exception {
        List<Change> changes = DocumentDiff.between(document(after), Configuration.of(3, document(before)))
                .changes();
        if (changes.isEmpty()) {
            return;
        }
        ChangeRequest request = new ChangeRequest(new ChangeSet("change-1", "author", changes), OptionalLong.of(7));
        byte[] json = OperatorJson.changeRequest(request).getBytes(StandardCharsets.UTF_8);
        assertThat(new ChangeRequestReader(1 << 20).read(json)).isEqualTo(request);
    }

    @Nested
    class Keys {

        /** Guards against a document without keys revoking every key that was issued by command. */
        @Test
        void stayWhenTheDocumentListsNone() throws Exception {
            DeploymentBuilder builder = DeploymentBuilder.create();
            builder.team("cafe").rate(1).burst(1);
            ConfigurationDocument withoutKeys = builder.build();
            ConfigurationDocument withKey =
                    builder.key(new ApiKey("k", CAFE, KeyHash.of("secret"))).build();

            assertThat(DocumentDiff.between(withoutKeys, Configuration.of(1, withKey)))
                    .hasToString("no changes");
            assertThat(DocumentDiff.between(withKey, Configuration.of(1, withoutKeys)))
                    .hasToString("issue key k to team cafe");
        }

        /** Guards against an issued key being printed twice, or appearing in a description of itself. */
        @Test
        void arePrintedOnce() {
            IssuedKey issued = new KeyIssuer(new SecureRandom()).issue("k", CAFE);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
            issued.printOnce(output);
            String text = bytes.toString(StandardCharsets.UTF_8).strip();

            assertThat(text).matches("olm_[A-Za-z0-9_-]{43}");
            assertThat(issued.apiKey().hash()).isEqualTo(KeyHash.of(text));
            assertThat(issued.toString()).doesNotContain(text);
            assertThatThrownBy(() -> issued.printOnce(output)).isInstanceOf(IllegalStateException.class);
        }
    }

    @Nested
    class Text {

        /** Guards against a change whose old and new value cannot be seen before it is applied. */
        @Test
        void namesOldAndNewValues() throws Exception {
            DeploymentBuilder before = DeploymentBuilder.create();
            before.team("cafe").rate(1).burst(1);
            DeploymentBuilder after = DeploymentBuilder.create();
            after.team("cafe").rate(2).burst(1);
            after.model("m").version("1").memoryMegabytes(1);
            after.admission().firstCome();

            assertThat(DocumentDiff.between(after.build(), Configuration.of(1, before.build())))
                    .hasToString("change admission: policy WEIGHTED -> FIRST_COME\n"
                            + "add model m\nchange team cafe: rate 1 -> 2");
            assertThat(DocumentDiff.between(DeploymentBuilder.create().build(), Configuration.of(1, before.build())))
                    .hasToString("remove team cafe and revoke its keys");
        }
    }

    @Nested
    class Requests {

        /** Guards against a malformed request being accepted in part. */
        @Test
        void withErrorsAreRefused() {
            String json = "{\"changeId\": \"c 1\", \"expectedVersion\": -1, \"changes\": [{\"type\": \"drop\"},"
                    + " {\"type\": \"put-team\", \"team\": {\"name\": \"t\"}}]}";
            assertThatThrownBy(() -> new ChangeRequestReader(4096).read(json.getBytes(StandardCharsets.UTF_8)))
                    .hasMessageContaining("changeId")
                    .hasMessageContaining("author")
                    .hasMessageContaining("expectedVersion")
                    .hasMessageContaining("changes[0].type")
                    .hasMessageContaining("changes[1].team.rate");
        }
    }
}
