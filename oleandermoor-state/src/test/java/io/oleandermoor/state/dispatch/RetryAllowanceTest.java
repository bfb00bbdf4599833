package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryAllowanceTest {

    @Test
    void sumOverEntriesStaysWithinTheFixedPart() {
        int entries = 4;
        int repeats = 0;
        for (int entry = 0; entry < entries; entry++) {
            RetryAllowance allowance = new RetryAllowance(0.2, 56, 10_000);
            while (allowance.tryRepeat(5, entries)) {
                repeats++;
            }
        }
        assertThat(repeats).isBetween(40, 56);
    }

    @Test
    void requestsPermitRepeatsUntilTheyLeaveTheWindow() {
        RetryAllowance allowance = new RetryAllowance(0.2, 0, 1_000);
        for (int request = 0; request < 100; request++) {
            allowance.requested(0);
        }
        int repeats = 0;
        while (allowance.tryRepeat(500, 1)) {
            repeats++;
        }
        assertThat(repeats).isBetween(10, 20);
        assertThat(allowance.tryRepeat(2_000, 1)).isFalse();
    }
}
