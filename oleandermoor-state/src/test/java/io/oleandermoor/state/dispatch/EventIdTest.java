package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EventIdTest {

    private static EventId id(String text) {
        return EventId.parse(text).orElseThrow();
    }

    @Nested
    class Parse {

        @ParameterizedTest
        @CsvSource({"0, 0", "00, 0", "007, 7", "9007199254740993, 9007199254740993"})
        void keepsTheNumber(String text, String digits) {
            assertThat(id(text).digits()).isEqualTo(digits);
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "-1", "+1", "1.0", "1e3", "1 2", " 1", "x", "\u0661"})
        void isEmptyForAnyOtherText(String text) {
            assertThat(EventId.parse(text)).isEmpty();
        }

        @Test
        void isTheOnlyWayToDropLeadingZeros() {
            assertThatThrownBy(() -> new EventId("07")).isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Nested
    class IsAfter {

        /** Guards against neighbours that floating-point numbers or a long do not tell apart. */
        @ParameterizedTest
        @CsvSource({
            "9, 10",
            "9007199254740992, 9007199254740993",
            "9223372036854775807, 9223372036854775808",
            "18446744073709551615, 18446744073709551616",
            "0, 340282366920938463463374607431768211456"
        })
        void comparesNumbersOfAnySize(String lower, String higher) {
            assertThat(id(higher).isAfter(id(lower))).isTrue();
            assertThat(id(lower).isAfter(id(higher))).isFalse();
            assertThat(id(lower).isAfter(id(lower))).isFalse();
        }
    }
}
