package io.oleandermoor.state.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StreamKeyTest {

    private static final StreamKey KEY = StreamKey.of("id", "team", "route", "service");

    @Test
    void isTheSameForTheSameAttempt() {
        assertThat(StreamKey.of("id", "team", "route", "service")).isEqualTo(KEY);
    }

    /** Guards against a stream that goes on for somebody who names another caller's attempt. */
    @Test
    void differsForEachPart() {
        assertThat(StreamKey.of("other", "team", "route", "service")).isNotEqualTo(KEY);
        assertThat(StreamKey.of("id", "other", "route", "service")).isNotEqualTo(KEY);
        assertThat(StreamKey.of("id", "team", "other", "service")).isNotEqualTo(KEY);
        assertThat(StreamKey.of("id", "team", "route", "other")).isNotEqualTo(KEY);
        assertThat(StreamKey.of("idt", "eam", "route", "service")).isNotEqualTo(KEY);
    }
}
