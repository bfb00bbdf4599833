package io.oleandermoor.state.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class DemandForecasterTest {

    /** Guards against a forecast that misses a rise recorded at the same hour of earlier days. */
    @Test
    void followsSameHourOfEarlierDays() {
        List<Double> day = new ArrayList<>(Collections.nCopies(24, 100.0));
        day.set(9, 1_000.0);
        DemandHistory history = new DemandHistory(List.of(day, day, day), List.of(100.0, 100.0));
        double atNine = DemandForecaster.forecast(history, List.of(), 8 * 60 + 30, 60);
        assertThat(atNine).isCloseTo(0.75 * 1_000 + 0.25 * 100, within(1.0));
        assertThat(DemandForecaster.forecast(history, List.of(), 14 * 60, 30)).isCloseTo(100, within(1.0));
    }

    /** Guards against copies that are kept for callers that have closed. */
    @Test
    void removesDemandOfCallersThatClose() {
        DemandHistory history = new DemandHistory(List.of(), List.of(200.0, 200.0));
        List<ClosingHours> closings = List.of(new ClosingHours(20 * 60, 8 * 60, 0.8));
        assertThat(DemandForecaster.forecast(history, closings, 19 * 60 + 45, 30))
                .isCloseTo(40, within(1e-6));
        assertThat(DemandForecaster.forecast(history, closings, 19 * 60, 30)).isCloseTo(200, within(1e-6));
        assertThat(DemandForecaster.forecast(history, closings, 23 * 60 + 50, 30))
                .isCloseTo(200, within(1e-6));
    }

    /** Guards against a forecast that lags behind a rising trend, and against negative forecasts. */
    @Test
    void extrapolatesDampedRecentTrend() {
        DemandHistory rising = new DemandHistory(List.of(), List.of(100.0, 110.0, 120.0));
        assertThat(DemandForecaster.forecast(rising, List.of(), 600, 10)).isCloseTo(170, within(1e-6));
        DemandHistory falling = new DemandHistory(List.of(), List.of(120.0, 60.0, 0.0));
        assertThat(DemandForecaster.forecast(falling, List.of(), 600, 10)).isZero();
    }
}
