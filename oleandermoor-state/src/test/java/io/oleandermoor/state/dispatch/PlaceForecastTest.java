package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PlaceForecastTest {

    private final PlaceForecast forecast = new PlaceForecast();

    @Test
    void expectsAPlaceSoonBeforeAnythingIsKnown() {
        assertThat(forecast.expectedMillis("m", 0, 0)).isEqualTo(250);
        assertThat(forecast.expectedMillis("m", 9, 0)).isEqualTo(790);
    }

    /** Guards against requests that wait in vain behind more others than get a place in their time. */
    @Test
    void dividesThoseAheadByThePlacesOfTheLastSecond() {
        forecast.expectedMillis("m", 0, 0);
        for (int request = 0; request < 20; request++) {
            forecast.placed("m", 1_000 + request * 50L);
        }
        assertThat(forecast.expectedMillis("m", 39, 1_950)).isEqualTo(2_000);
    }

    /** Guards against refusals of a model that few ask for: its places are few because its requests are. */
    @Test
    void doesNotTakeFewArrivalsForFewPlaces() {
        forecast.expectedMillis("m", 0, 0);
        forecast.placed("m", 10);
        assertThat(forecast.expectedMillis("m", 0, 5_000)).isEqualTo(250);
        assertThat(forecast.expectedMillis("m", 1, 5_010)).isEqualTo(310);
    }

    @Test
    void forgetsPlacesAfterASecond() {
        forecast.expectedMillis("m", 0, 0);
        forecast.placed("m", 10);
        forecast.placed("m", 900);
        assertThat(forecast.expectedMillis("m", 1, 1_500)).isEqualTo(2_000);
    }

    @Test
    void keepsNeedsApart() {
        forecast.expectedMillis("m", 0, 0);
        assertThat(forecast.expectedMillis("other", 1, 1_000)).isEqualTo(310);
    }
}
