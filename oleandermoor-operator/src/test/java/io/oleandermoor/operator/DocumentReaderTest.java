package io.oleandermoor.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import example.ExampleDeployment;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.finding.Finding;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.stream.StreamSupport;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DocumentReaderTest {

    private static List<String> problems(String json) {
        InvalidInputException exception = catchThrowableOfType(
                InvalidInputException.class,
                () -> new DocumentReader(4096).read(json.getBytes(StandardCharsets.UTF_8)));
        return exception.findings().stream().map(Finding::toString).toList();
    }

    /** Guards against damaged documents that end the reader with an exception instead of findings. */
    @Property(seed = "20261204", tries = 3000)
    void damagedDocumentsHaveFindings(@ForAll @IntRange(max = 9999) int position, @ForAll @Size(max = 12) byte[] damage)
            throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ExampleDeployment.printFull(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        byte[] document = bytes.toByteArray();
        int start = position % (document.length - damage.length);
        System.arraycopy(damage, 0, document, start, damage.length);
        Findings findings = new Findings();
        boolean read = new DocumentReader().read(document, findings).isPresent();
        assertThat(read).isNotEqualTo(findings.hasErrors());
    }

    /** Guards against values of a wrong type that end the reader with an exception instead of findings. */
    @Property(seed = "20261204", tries = 1000)
    void wrongTypesHaveFindings(
            @ForAll @IntRange(max = 9999) int position,
            @ForAll("values") String value,
            @ForAll("values") String otherValue)
            throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ExampleDeployment.printFull(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        String[] lines = bytes.toString(StandardCharsets.UTF_8).split("\n");
        for (int index = position % lines.length, replaced = 0; index < lines.length && replaced < 2; index++) {
            if (lines[index].matches(" *\"\\w+\" : [^\\[{].*")) {
                lines[index] = lines[index].replaceFirst(
                        ": [^,]*", ": " + Matcher.quoteReplacement(replaced == 0 ? value : otherValue));
                replaced++;
            }
        }
        Findings findings = new Findings();
        byte[] document = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        boolean read = new DocumentReader().read(document, findings).isPresent();
        assertThat(read).isNotEqualTo(findings.hasErrors());
        assertThat(findings.list()).noneMatch(finding -> finding.message().contains("not valid JSON"));
    }

    @Provide
    Arbitrary<String> values() {
        return Arbitraries.of(
                "null",
                "true",
                "-1",
                "0",
                "1.5",
                "1e999",
                "9223372036854775808",
                "\"\"",
                "\"a b\"",
                "[]",
                "{}",
                "[[null]]");
    }

    @Nested
    class Errors {

        /** Guards against a reader that stops at the first problem or loses the place of one. */
        @Test
        void areReportedTogetherWithLineAndColumn() {
            List<String> problems = problems("""
                    {
                      "teams": [
                        {"name": "cafe", "rate": -5, "burst": "many", "colour": "red"},
                        {"name": "cafe", "rate": 5}
                      ],
                      "keys": [{"id": "k", "team": "press", "hash": "abc"}],
                      "routes": [{"name": "r", "method": "GET", "path": "/r", "service": "s",
                        "access": "ALL", "repeatability": "IDEMPOTENT", "maximumBodyBytes": 1.5}],
                      "teams": []
                    }""");
            assertThat(problems)
                    .containsExactlyInAnyOrder(
                            "ERROR teams (line 9, column 12): is given twice",
                            "ERROR teams[0].rate (line 3, column 30): must be positive but is -5",
                            "ERROR teams[0].burst (line 3, column 43): must be a whole number but is the text 'many'",
                            "ERROR teams[0].colour (line 3, column 61): is not a known field;"
                                    + " known are burst, name, rate, weight",
                            "ERROR teams[1].burst (line 4, column 5): is missing",
                            "ERROR teams[1] (line 4, column 5): 'cafe' is defined more than once",
                            "ERROR keys[0].team (line 6, column 32): team 'press' is not defined",
                            "ERROR keys[0].hash (line 6, column 49): key hash must be 64 lower-case hexadecimal digits",
                            "ERROR routes[0].access (line 8, column 15): must be one of [OPEN, TEAM] but is 'ALL'",
                            "ERROR routes[0].maximumBodyBytes (line 8, column 73):"
                                    + " must be a whole number but is 1.5");
        }

        /** Guards against an exception other than findings for texts that are not documents at all. */
        @Test
        void nameWhatIsNotADocument() {
            assertThat(problems("")).containsExactly("ERROR document: is empty");
            assertThat(problems("[]")).singleElement().asString().contains("must be an object but is of type array");
            assertThat(problems("{\"teams\": {}}")).singleElement().asString().contains("must be a list");
            assertThat(problems("{\"teams\": [null]}")).asString().contains("must be an object but is null");
            assertThat(problems("{} x")).singleElement().asString().contains("not valid JSON");
            assertThat(problems("{} {}")).singleElement().asString().contains("text after its end");
            assertThat(problems("{\"teams\": [")).singleElement().asString().contains("line 1");
            assertThat(problems("[".repeat(2000))).singleElement().asString().contains("depth");
            assertThat(problems("{\"teams\": [{\"name\": \"a\", \"rate\": 99999999999999999999, \"burst\": 1}]}"))
                    .singleElement()
                    .asString()
                    .contains("must be at most");
        }

        /** Guards against a document of any size being read into memory. */
        @Test
        void includeTheLimitOfTheSize() {
            byte[] large = " ".repeat(5000).getBytes(StandardCharsets.UTF_8);
            InvalidInputException exception = catchThrowableOfType(
                    InvalidInputException.class, () -> new DocumentReader(4096).read(new ByteArrayInputStream(large)));
            assertThat(exception).hasMessageContaining("more than the limit of 4096");
        }
    }

    @Nested
    class Example {

        /** Guards against the builder printing something that the reader does not read back as the same document. */
        @Test
        void isReadBack() throws Exception {
            ByteArrayOutputStream small = new ByteArrayOutputStream();
            ExampleDeployment.printSmall(new PrintStream(small, true, StandardCharsets.UTF_8));
            ByteArrayOutputStream full = new ByteArrayOutputStream();
            ExampleDeployment.printFull(new PrintStream(full, true, StandardCharsets.UTF_8));

            assertThat(new DocumentReader().read(small.toByteArray()).teams()).hasSize(1);
            ConfigurationDocument document = new DocumentReader().read(full.toByteArray());
            assertThat(document.adapters()).hasSize(42);
            assertThat(document.settings().openingHours()).hasSize(1);
            assertThat(OperatorJson.document(document)).isEqualTo(full.toString(StandardCharsets.UTF_8));
        }

        /** Guards against a builder that prints an unusable document or reports only its first problem. */
        @Test
        void builderReportsEverythingMissing() {
            InvalidInputException exception = catchThrowableOfType(
                    InvalidInputException.class,
                    () -> DeploymentBuilder.create()
                            .team("cafe")
                            .rate(0)
                            .adapter("tone")
                            .of("none")
                            .print(System.out));
            assertThat(exception.findings())
                    .extracting(Finding::place)
                    .containsExactlyInAnyOrder(
                            "teams[0].burst",
                            "teams[0].rate",
                            "adapters[0].version",
                            "adapters[0].memoryMegabytes",
                            "adapters[0].model");
        }
    }

    @Nested
    class Pages {

        private final Path docs = Path.of("..", "docs");

        /** Guards against the schema or the page missing a field, or naming one that the document does not have. */
        @Test
        void nameEveryField() throws Exception {
            JsonNode schema = new ObjectMapper()
                    .readTree(docs.resolve("configuration-schema.json").toFile());
            String page = Files.readString(docs.resolve("configuration.md"));
            check(schema, ConfigurationDocument.class, page);
            for (var entry : schema.path("$defs").properties()) {
                if (!entry.getKey().equals("identifier")) {
                    check(
                            entry.getValue(),
                            Class.forName("io.oleandermoor.state.configuration." + entry.getKey()),
                            page);
                }
            }
        }

        /** Guards against the schema requiring a field that the reader does not, or the other way round. */
        @Test
        void requireWhatTheReaderRequires() throws Exception {
            JsonNode definitions = new ObjectMapper()
                    .readTree(docs.resolve("configuration-schema.json").toFile())
                    .path("$defs");
            ObjectNode full = fullDocument();
            checkRequired(full, "/teams/0", definitions.path("Team"));
            checkRequired(full, "/keys/0", definitions.path("ApiKey"));
            checkRequired(full, "/models/0", definitions.path("Model"));
            checkRequired(full, "/adapters/0", definitions.path("Adapter"));
            checkRequired(full, "/routes/0", definitions.path("Route"));
            checkRequired(full, "/settings", definitions.path("FleetSettings"));
            checkRequired(full, "/settings/admission", definitions.path("AdmissionSettings"));
            checkRequired(full, "/settings/weightStore", definitions.path("WeightStoreLimits"));
            checkRequired(full, "/settings/openingHours/0", definitions.path("OpeningHours"));
        }

        private ObjectNode fullDocument() throws Exception {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            ExampleDeployment.printFull(new PrintStream(bytes, true, StandardCharsets.UTF_8));
            ObjectNode document = (ObjectNode) new ObjectMapper().readTree(bytes.toByteArray());
            document.withArrayProperty("keys")
                    .addObject()
                    .put("id", "key-1")
                    .put("team", "cafe")
                    .put("hash", "0".repeat(64));
            return document;
        }

        private void checkRequired(ObjectNode full, String pointer, JsonNode definition) throws Exception {
            for (var property : definition.path("properties").properties()) {
                ObjectNode changed = full.deepCopy();
                ((ObjectNode) changed.at(pointer)).remove(property.getKey());
                Findings findings = new Findings();
                new DocumentReader().read(changed.toString().getBytes(StandardCharsets.UTF_8), findings);
                boolean missing = findings.list().stream()
                        .anyMatch(finding -> finding.message().equals("is missing")
                                && finding.place().contains("." + property.getKey() + " "));
                boolean required = StreamSupport.stream(
                                definition.path("required").spliterator(), false)
                        .anyMatch(name -> name.asText().equals(property.getKey()));
                assertThat(missing).as(pointer + "/" + property.getKey()).isEqualTo(required);
            }
        }

        private void check(JsonNode object, Class<?> type, String page) {
            List<String> components = Arrays.stream(type.getRecordComponents())
                    .map(RecordComponent::getName)
                    .toList();
            assertThat(object.path("properties").fieldNames())
                    .toIterable()
                    .as(type.getSimpleName())
                    .containsExactlyInAnyOrderElementsOf(components);
            assertThat(page)
                    .contains(components.stream()
                            .map(name -> "| `" + name + "` |")
                            .toList());
        }
    }
}
