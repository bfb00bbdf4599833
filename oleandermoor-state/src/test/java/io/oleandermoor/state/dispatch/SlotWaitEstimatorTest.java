package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotWaitEstimatorTest {

    private final SlotWaitEstimator estimator = new SlotWaitEstimator();

    @Test
    void returnsTheDefaultWaitWithoutAHistory() {
        assertThat(estimator.expectedWaitMillis("m", 0, 0)).isEqualTo(250);
        assertThat(estimator.expectedWaitMillis("m", 9, 0)).isEqualTo(790);
    }

    /** Guards against queueing requests behind more others than are assigned slots before their deadline. */
    @Test
    void dividesTheQueueLengthByTheRecentAssignmentRate() {
        estimator.expectedWaitMillis("m", 0, 0);
        for (int request = 0; request < 20; request++) {
            estimator.recordAssignment("m", 1_000 + request * 50L);
        }
        assertThat(estimator.expectedWaitMillis("m", 39, 1_950)).isEqualTo(2_000);
    }

    /** Guards against refusing requests for a rarely used model: it has few assignments because it has few requests. */
    @Test
    void ignoresAssignmentsMadeWhileTheQueueWasEmpty() {
        estimator.expectedWaitMillis("m", 0, 0);
        estimator.recordAssignment("m", 10);
        assertThat(estimator.expectedWaitMillis("m", 0, 5_000)).isEqualTo(250);
        assertThat(estimator.expectedWaitMillis("m", 1, 5_010)).isEqualTo(310);
    }

    @Test
    void ignoresAssignmentsOlderThanASecond() {
        estimator.expectedWaitMillis("m", 0, 0);
        estimator.recordAssignment("m", 10);
        estimator.recordAssignment("m", 900);
        assertThat(estimator.expectedWaitMillis("m", 1, 1_500)).isEqualTo(2_000);
    }

    @Test
    void tracksEachResourceSeparately() {
        estimator.expectedWaitMillis("m", 0, 0);
        assertThat(estimator.expectedWaitMillis("other", 1, 1_000)).isEqualTo(310);
    }
}
