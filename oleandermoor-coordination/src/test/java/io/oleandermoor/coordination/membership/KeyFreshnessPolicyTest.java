package io.oleandermoor.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.membership.KeyFreshnessPolicy.Decision;
import io.oleandermoor.coordination.membership.KeyFreshnessPolicy.Situation;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a revoked key that works on in an entry that is cut off, and against refusals in an outage. */
class KeyFreshnessPolicyTest {

    @ParameterizedTest
    @CsvSource({
        // confirmed lately: nothing else matters
        "9999, 7, 0, 0, ACCEPT_CONFIRMED",
        // not confirmed, alone
        "10000, 7, 0, 0, REFUSE",
        // not confirmed, in the smaller part of a partition
        "60000, 7, 2, 2, REFUSE",
        // not confirmed, with most entries, which all lack the service
        "60000, 7, 3, 3, ACCEPT_SERVICE_DOWN",
        // with exactly half
        "60000, 8, 3, 3, REFUSE",
        // most entries answer and reach the service: this entry is behind
        "60000, 7, 6, 1, REFUSE",
        "60000, 1, 0, 0, ACCEPT_SERVICE_DOWN",
    })
    void decides(long ageMillis, int registered, int answering, int withoutService, Decision expected) {
        Situation situation = new Situation(OptionalLong.of(ageMillis), registered, answering, withoutService);
        assertThat(KeyFreshnessPolicy.decide(situation)).isEqualTo(expected);
    }

    @Test
    void entryWithoutAnyConfirmedConfigurationRefuses() {
        assertThat(KeyFreshnessPolicy.decide(new Situation(OptionalLong.empty(), 7, 6, 6)))
                .isEqualTo(Decision.REFUSE);
    }
}
