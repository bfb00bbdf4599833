package io.oleandermoor.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.RequestKind;
import java.util.List;
import org.junit.jupiter.api.Test;

class StreamTimesTest {

    private static final HostRoute ROUTE = new HostRoute(
            "proofs",
            "host",
            "/",
            RequestKind.STREAMING,
            12_000,
            500,
            150,
            0,
            List.of(new HostRoute.WeightedService("words", 1)),
            2,
            new HostRoute.Traits(false, true, true));

    private final StreamTimes times = new StreamTimes(1_000);

    @Test
    void aStreamWithinBothTargetsIsOnTime() {
        times.event(1_500);
        times.event(1_650);
        assertThat(times.late(ROUTE)).isFalse();
    }

    /** Guards against a late first event that counts as a pause or as nothing. */
    @Test
    void aLateFirstEventMakesAStreamLate() {
        times.event(1_501);
        assertThat(times.late(ROUTE)).isTrue();
        assertThat(times.longestPauseMillis()).isZero();
    }

    @Test
    void aLongPauseMakesAStreamLate() {
        times.event(1_100);
        times.event(1_251);
        times.event(1_260);
        assertThat(times.late(ROUTE)).isTrue();
        assertThat(times.longestPauseMillis()).isEqualTo(151);
    }
}
