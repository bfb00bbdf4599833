package io.oleandermoor.state.residency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class PlanningPaceTest {

    private static final double SHARE = 0.1;

    private final PlanningPace pace = new PlanningPace(SHARE);

    /** Guards against a machine that plans without a break while requests wait for it. */
    @Test
    void spendsNoMoreThanItsShare() {
        long now = 0;
        long spent = 0;
        while (now < 60_000) {
            if (pace.due(now)) {
                long took = 30 + now % 70;
                pace.planned(now, now + took);
                spent += took;
                now += took;
            }
            now += 5;
        }
        assertThat(spent).isBetween((long) (60_000 * SHARE * 0.8), (long) (60_000 * SHARE * 1.05));
    }

    @Test
    void aPlanThatTakesNoTimeIsAlwaysDue() {
        pace.planned(100, 100);
        assertThat(pace.due(100)).isTrue();
    }

    @Test
    void rejectsAShareOfNothing() {
        assertThatThrownBy(() -> new PlanningPace(0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new PlanningPace(Double.NaN)).isInstanceOf(IllegalArgumentException.class);
    }
}
