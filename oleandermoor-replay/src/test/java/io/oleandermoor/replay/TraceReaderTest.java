package io.oleandermoor.replay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.oleandermoor.state.finding.Finding;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks the text form of traces. */
final class TraceReaderTest {

    private static String text(Scenario scenario) throws Exception {
        StringWriter writer = new StringWriter();
        TraceJson.write(new TraceGenerator(Site.CYMRU_WEST, scenario, 3), writer);
        return writer.toString();
    }

    /** Guards against a field that is lost in the file, so that a written trace replays differently. */
    @Test
    void readsWhatWasWritten() throws Exception {
        for (Scenario scenario : Scenario.values()) {
            TraceGenerator expected = new TraceGenerator(Site.CYMRU_WEST, scenario, 3);
            try (TraceReader reader = new TraceReader(new StringReader(text(scenario)), "trace")) {
                assertThat(reader.deployment()).isEqualTo(expected.deployment());
                Optional<TraceEvent> event = expected.next();
                while (event.isPresent()) {
                    assertThat(reader.next()).isEqualTo(event);
                    event = expected.next();
                }
                assertThat(reader.next()).isEmpty();
            }
        }
    }

    /** Guards against findings without a line, and against a reader that stops at the first one. */
    @Test
    void reportsAllErrorsWithTheirLines() throws Exception {
        String header = text(Scenario.OVERLOAD).lines().findFirst().orElseThrow();
        String lines = header + "\nnot json\n"
                + "{\"event\":\"store-changed\",\"millis\":5,\"available\":false}\n"
                + "{\"event\":\"store-changed\",\"millis\":4,\"available\":true}\n"
                + "{\"event\":\"domain-changed\",\"millis\":6,\"domain\":\"nowhere\",\"live\":true}\n"
                + "{\"event\":\"entry-replaced\",\"millis\":6}\n";
        try (TraceReader reader = new TraceReader(new StringReader(lines), "trace")) {
            assertThat(reader.next()).contains(new TraceEvent.StoreChanged(5, false));
            InvalidInputException thrown = catchThrowableOfType(InvalidInputException.class, reader::next);
            assertThat(thrown.findings())
                    .extracting(Finding::place)
                    .containsExactly("trace:2", "trace:4", "trace:5", "trace:6");
        }
    }

    /** Guards against an empty file that is taken for a trace. */
    @Test
    void needsAHeader() {
        assertThat(catchThrowableOfType(
                                InvalidInputException.class, () -> new TraceReader(new StringReader(""), "trace"))
                        .findings())
                .extracting(Finding::place)
                .containsExactly("trace:1");
    }
}
