package io.oleandermoor.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.request.StreamLatency.MissedTargets;
import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.RequestKind;
import java.util.List;
import org.junit.jupiter.api.Test;

class StreamLatencyTest {

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

    private final StreamLatency latency = new StreamLatency(1_000);

    @Test
    void streamWithinBothTargetsMeetsTargets() {
        latency.recordEvents(1_500);
        latency.recordEvents(1_650);
        assertThat(latency.missedTargets(ROUTE)).isEqualTo(MissedTargets.NONE);
    }

    /** Guards against a late first event that counts as a pause or is ignored. */
    @Test
    void lateFirstEventMissesTargetsAndIsNoPause() {
        latency.recordEvents(1_501);
        assertThat(latency.missedTargets(ROUTE)).isEqualTo(MissedTargets.FIRST_EVENT);
        assertThat(latency.longestPauseMillis()).isZero();
    }

    @Test
    void longPauseMissesTargets() {
        latency.recordEvents(1_100);
        latency.recordEvents(1_251);
        latency.recordEvents(1_260);
        assertThat(latency.missedTargets(ROUTE)).isEqualTo(MissedTargets.EVENT_INTERVAL);
        assertThat(latency.longestPauseMillis()).isEqualTo(151);
    }
}
