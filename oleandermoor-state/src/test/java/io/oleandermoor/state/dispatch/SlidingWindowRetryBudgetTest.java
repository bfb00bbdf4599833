package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlidingWindowRetryBudgetTest {

    @Test
    void entriesTogetherStayWithinTheFixedRetries() {
        int entries = 4;
        int repeats = 0;
        for (int entry = 0; entry < entries; entry++) {
            SlidingWindowRetryBudget allowance = new SlidingWindowRetryBudget(0.2, 56, 10_000);
            while (allowance.tryAcquire(5, entries)) {
                repeats++;
            }
        }
        assertThat(repeats).isBetween(40, 56);
    }

    @Test
    void requestsPermitRetriesUntilTheWindowEnds() {
        SlidingWindowRetryBudget allowance = new SlidingWindowRetryBudget(0.2, 0, 1_000);
        for (int request = 0; request < 100; request++) {
            allowance.recordRequest(0);
        }
        int repeats = 0;
        while (allowance.tryAcquire(500, 1)) {
            repeats++;
        }
        assertThat(repeats).isBetween(10, 20);
        assertThat(allowance.tryAcquire(2_000, 1)).isFalse();
    }
}
