package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlidingWindowRetryBudgetTest {

    @Test
    void entriesTogetherStayWithinTheFixedRetries() {
        int entries = 4;
        int retries = 0;
        for (int entry = 0; entry < entries; entry++) {
            SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget(0.2, 56, 10_000);
            while (budget.tryAcquire(5, entries)) {
                retries++;
            }
        }
        assertThat(retries).isBetween(40, 56);
    }

    @Test
    void requestsPermitRetriesUntilTheWindowEnds() {
        SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget(0.2, 0, 1_000);
        for (int request = 0; request < 100; request++) {
            budget.recordRequest(0);
        }
        int retries = 0;
        while (budget.tryAcquire(500, 1)) {
            retries++;
        }
        assertThat(retries).isBetween(10, 20);
        assertThat(budget.tryAcquire(2_000, 1)).isFalse();
    }
}
