package io.oleandermoor.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.oleandermoor.state.finding.InvalidInputException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationListingTest {

    private static byte[] listing(String version) {
        return ("{\"version\":" + version + ",\"document\":{}}").getBytes(StandardCharsets.UTF_8);
    }

    @Nested
    class Version {

        @Test
        void isKeptExactly() throws Exception {
            assertThat(ConfigurationListing.read(listing("9007199254740993")).version())
                    .isEqualTo(9_007_199_254_740_993L);
        }

        /** Guards against a change that expects another version than the entry listed. */
        @ParameterizedTest
        @ValueSource(strings = {"7.5", "9007199254740993.0", "18446744073709551617", "\"7\"", "-1"})
        void isRefusedIfItIsNoWholeNumberOrTooLarge(String version) {
            InvalidInputException exception = catchThrowableOfType(
                    InvalidInputException.class, () -> ConfigurationListing.read(listing(version)));
            assertThat(exception.findings().toString()).contains("must have a version");
        }
    }
}
