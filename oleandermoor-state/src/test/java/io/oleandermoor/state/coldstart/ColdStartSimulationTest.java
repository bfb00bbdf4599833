package io.oleandermoor.state.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.coldstart.ColdStartSimulation.Outcome;
import io.oleandermoor.state.coldstart.ColdStartSimulation.Scenario;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ColdStartSimulationTest {

    private static final int SEEDS = 10;
    private static final double RATE = 23;
    /** The rate times 1.5, plus 5. */
    private static final double BOUND = 39.5;

    private static void assertBoundKept(Scenario scenario) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Outcome outcome = new ColdStartSimulation(scenario, seed).run(200, 1_600);
            assertThat((double) outcome.mostInOneSecond())
                    .as("%s seed %d", scenario, seed)
                    .isLessThanOrEqualTo(BOUND);
            assertThat(outcome.refused()).as("%s seed %d", scenario, seed).isZero();
            assertThat(outcome.coldRequests())
                    .as("%s seed %d uses cold instances", scenario, seed)
                    .isPositive();
        }
    }

    @Nested
    class DomainComesBack {

        /** Guards against a rule that is not needed: without it, an empty instance attracts the burst. */
        @Test
        void boundIsExceededWithoutTheRule() {
            Outcome outcome = new ColdStartSimulation(new Scenario(27, RATE, false, 0, false), 0).run(200, 1_600);
            assertThat((double) outcome.mostInOneSecond()).isGreaterThan(BOUND);
        }

        /** Guards against entries that together send more than a cold instance tolerates, or refuse requests. */
        @ParameterizedTest
        @ValueSource(ints = {2, 12, 18, 20, 22, 27, 31, 36, 100, 340})
        void boundIsKeptByAnyNumberOfEntries(int entries) {
            assertBoundKept(new Scenario(entries, RATE, true, 0, false));
        }

        /** Guards against entries that do not know that an instance has restarted. */
        @ParameterizedTest
        @CsvSource({"27,0.5", "22,0.5", "27,1", "100,0.5", "340,0.5"})
        void boundIsKeptByEntriesCutOffFromTheList(int entries, double cutOffShare) {
            assertBoundKept(new Scenario(entries, RATE, true, cutOffShare, false));
        }
    }

    @Nested
    class AllEntriesRestart {

        /** Guards against entries that do not know of each other yet and claim too large a share. */
        @ParameterizedTest
        @ValueSource(ints = {2, 22, 27, 100})
        void boundIsKept(int entries) {
            assertBoundKept(new Scenario(entries, RATE, true, 0, true));
        }
    }
}
