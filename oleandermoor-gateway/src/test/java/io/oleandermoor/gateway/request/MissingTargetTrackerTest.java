package io.oleandermoor.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MissingTargetTrackerTest {

    private static final ModelTarget TARGET = new ModelTarget("m", "");

    private final MissingTargetTracker tracker =
            new MissingTargetTracker(new DeploymentView("entry", new InstanceTable("a", 1)));

    @Nested
    class RecentRefusals {

        /**
         * Guards against a demand for a missing model that is several times lower than that of a held model with as
         * many requests, whose running requests count.
         */
        @Test
        void countForAsLongAsRequestsRun() {
            for (int run = 0; run < 500; run++) {
                tracker.recordRun(3_000);
            }
            tracker.recordRefusal(TARGET, 10_000);
            tracker.recordRefusal(TARGET, 11_000);
            assertThat(tracker.recentRefusals(12_500)).containsEntry(TARGET, 2);
            assertThat(tracker.recentRefusals(13_500)).containsEntry(TARGET, 1);
            assertThat(tracker.recentRefusals(14_500)).isEmpty();
        }

        @Test
        void countForADefaultTimeBeforeTheFirstRun() {
            tracker.recordRefusal(TARGET, 10_000);
            assertThat(tracker.recentRefusals(10_500)).containsEntry(TARGET, 1);
            assertThat(tracker.recentRefusals(10_700)).isEmpty();
        }
    }
}
