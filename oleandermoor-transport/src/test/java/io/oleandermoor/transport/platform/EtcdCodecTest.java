package io.oleandermoor.transport.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.store.StoreException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EtcdCodecTest {

    private static JsonNode response(String revision) throws Exception {
        return new ObjectMapper().readTree("{\"header\":{\"revision\":" + revision + "}}");
    }

    @Nested
    class Revision {

        @ParameterizedTest
        @CsvSource(
                quoteCharacter = '\'',
                value = {
                    "\"9007199254740993\", 9007199254740993",
                    "9007199254740993, 9007199254740993",
                    "\"9223372036854775807\", 9223372036854775807"
                })
        void isKeptExactly(String revision, long expected) throws Exception {
            assertThat(EtcdCodec.readRevision(response(revision))).isEqualTo(expected);
        }

        @Test
        void isZeroIfAbsent() throws Exception {
            assertThat(EtcdCodec.readRevision(new ObjectMapper().readTree("{}")))
                    .isZero();
        }

        /** Guards against a write under a revision that the store never gave. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "\"9007199254740993.0\"",
                    "17.5",
                    "\"17.5\"",
                    "\"1e3\"",
                    "\"\"",
                    "\"x\"",
                    "\"9223372036854775808\"",
                    "18446744073709551617",
                    "null",
                    "true"
                })
        void isRefusedIfItIsNoWholeNumberOrTooLarge(String revision) throws Exception {
            JsonNode response = response(revision);
            assertThatThrownBy(() -> EtcdCodec.readRevision(response))
                    .isInstanceOf(StoreException.class)
                    .hasMessageContaining("revision");
        }
    }
}
