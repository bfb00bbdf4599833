package io.oleandermoor.state.restore;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndedRunsTest {

    private static final long RESTORED_MILLIS = 50_000;
    private static final long EXCLUSION_MILLIS = 10_000;

    private final EndedRuns runs = new EndedRuns();

    private static UpstreamInstance run(long startedMillis, boolean draining) {
        return new UpstreamInstance(
                "i-1",
                "shop",
                "127.0.0.1",
                9,
                "a",
                1,
                draining,
                OptionalLong.empty(),
                Map.of(),
                Set.of(),
                startedMillis,
                SoftwareVersion.UNSTATED);
    }

    @Nested
    class DrainingRun {

        /** Guards against requests to an instance that is about to stop and that the copy describes as ready. */
        @Test
        void staysDrainingWhateverTheCopySays() {
            runs.recordDescribed(run(1, true));
            runs.recordRestore(RESTORED_MILLIS);
            assertThat(runs.reconcile(run(1, false), RESTORED_MILLIS + 1)).contains(run(1, true));
            runs.recordDescribed(run(1, true));
            runs.recordRestore(RESTORED_MILLIS + 100);
            assertThat(runs.reconcile(run(1, false), RESTORED_MILLIS + 101)).contains(run(1, true));
        }

        @Test
        void isNotChangedWithoutRestore() {
            runs.recordDescribed(run(1, true));
            assertThat(runs.reconcile(run(1, false), RESTORED_MILLIS)).contains(run(1, false));
        }

        @Test
        void doesNotAffectTheNextRunOfItsInstance() {
            runs.recordDescribed(run(1, true));
            runs.recordRestore(RESTORED_MILLIS);
            assertThat(runs.reconcile(run(2, false), RESTORED_MILLIS + 1)).contains(run(2, false));
        }
    }

    @Nested
    class RemovedRun {

        /** Guards against requests to an ended instance whose registration is in the copy. */
        @Test
        void staysRemovedUntilItsRegistrationInTheCopyHasEnded() {
            runs.recordRemoved(run(1, false), RESTORED_MILLIS - 5_000);
            runs.recordRestore(RESTORED_MILLIS);
            assertThat(runs.reconcile(run(1, false), RESTORED_MILLIS + EXCLUSION_MILLIS - 1))
                    .isEmpty();
            assertThat(runs.reconcile(run(1, false), RESTORED_MILLIS + EXCLUSION_MILLIS))
                    .contains(run(1, false));
        }

        @Test
        void isForgottenWhenItCameBackBeforeTheRestore() {
            runs.recordRemoved(run(1, false), RESTORED_MILLIS - 5_000);
            runs.recordDescribed(run(1, false));
            runs.recordRestore(RESTORED_MILLIS);
            assertThat(runs.reconcile(run(1, false), RESTORED_MILLIS + 1)).contains(run(1, false));
        }
    }
}
