package io.oleandermoor.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Properties;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays the example trace against the outcomes beside it. */
final class ExampleTraceTest {

    private static InputStream resource(String name) {
        return ExampleTraceTest.class.getResourceAsStream(name);
    }

    /** Guards against a fault event that is not applied or that loses requests which have time for a second attempt. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hasTheExpectedOutcomes(long seed) throws Exception {
        Properties expected = new Properties();
        try (InputStream stream = resource("example.expected.properties")) {
            expected.load(stream);
        }
        ReplayResult result;
        try (TraceReader reader = new TraceReader(
                new InputStreamReader(resource("example.jsonl"), StandardCharsets.UTF_8), "example.jsonl")) {
            result = new ReplayRunner(reader, Policies.STANDARD, seed).run();
        }
        assertThat(result.violations()).isEmpty();
        assertThat(result.requests()).hasToString(expected.getProperty("requests"));
        assertThat(result.answered()).hasToString(expected.getProperty("answered"));
        assertThat(result.wrongfulRefusals()).hasToString(expected.getProperty("wrongfulRefusals"));
        assertThat(result.tokensOverLimit()).hasToString(expected.getProperty("tokensOverLimit"));
        assertThat(result.unreachableModelSeconds()).hasToString(expected.getProperty("unreachableModelSeconds"));
        assertThat(result.crashes()).hasToString(expected.getProperty("crashes"));
    }
}
