package io.oleandermoor.state.residency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class PlanningThrottleTest {

    private static final double MAXIMUM_RATIO = 0.1;

    private final PlanningThrottle throttle = new PlanningThrottle(MAXIMUM_RATIO);

    /** Guards against a process that plans continuously while requests wait for processing. */
    @Test
    void limitsPlanningToMaximumRatio() {
        long now = 0;
        long planningMillis = 0;
        while (now < 60_000) {
            if (throttle.isDue(now)) {
                long durationMillis = 30 + now % 70;
                throttle.recordPlan(now, now + durationMillis);
                planningMillis += durationMillis;
                now += durationMillis;
            }
            now += 5;
        }
        assertThat(planningMillis)
                .isBetween((long) (60_000 * MAXIMUM_RATIO * 0.8), (long) (60_000 * MAXIMUM_RATIO * 1.05));
    }

    @Test
    void isDueAgainAtOnceAfterPlanThatTookNoTime() {
        throttle.recordPlan(100, 100);
        assertThat(throttle.isDue(100)).isTrue();
    }

    @Test
    void rejectsRatioOfZeroOrNotANumber() {
        assertThatThrownBy(() -> new PlanningThrottle(0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new PlanningThrottle(Double.NaN)).isInstanceOf(IllegalArgumentException.class);
    }
}
