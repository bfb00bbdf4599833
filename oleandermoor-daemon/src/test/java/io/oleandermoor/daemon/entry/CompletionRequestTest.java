package io.oleandermoor.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CompletionRequestTest {

    @Nested
    class Body {

        /** Guards against numbers that reach an engine rounded, because the body is written again without the key. */
        @ParameterizedTest
        @ValueSource(strings = {"9007199254740993", "9007199254740993.0", "18446744073709551617", "0.70", "1E+400"})
        void keepsItsNumbers(String number) throws Exception {
            String text = "{\"model\":\"m\",\"seed\":" + number
                    + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
            CompletionRequest request =
                    CompletionRequest.of(CompletionRequest.parseBody(text.getBytes(StandardCharsets.UTF_8)));
            assertThat(request.body().toString()).isEqualTo(text);
        }
    }
}
