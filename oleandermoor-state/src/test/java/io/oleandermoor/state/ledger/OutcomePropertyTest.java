package io.oleandermoor.state.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.ledger.OutcomeSimulation.DisabledMechanism;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class OutcomePropertyTest {

    private static final int SEEDS = 100;

    /** Guards against repeated runs, requests wrongly reported as not run, and lost or repeated text. */
    @Property(tries = 400, seed = "20261204")
    void invariantsHoldUnderFaults(@ForAll @LongRange(min = 1) long seed) {
        assertThat(new OutcomeSimulation(seed, DisabledMechanism.NOTHING).run().violations)
                .isEmpty();
    }

    @Test
    @DisplayName("Guards against invariants that hold only because requests do not complete")
    void mostRequestsCompleteUnderFaults() {
        int completed = 0;
        int callers = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            completed += new OutcomeSimulation(seed, DisabledMechanism.NOTHING).run().completedCount;
            callers += 24;
        }
        assertThat(completed).isGreaterThan(callers / 2);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    @DisplayName("Guards against a simulation that does not detect the failures that each mechanism prevents")
    void findsViolationsWhenMechanismIsDisabled(DisabledMechanism disabled) {
        int violatedRuns = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            violatedRuns +=
                    new OutcomeSimulation(seed, disabled).run().violations.isEmpty() ? 0 : 1;
        }
        assertThat(violatedRuns).isPositive();
    }
}
