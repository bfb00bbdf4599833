package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.RequestKind;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class WaitPolicyTest {

    private static HostRoute route(RequestKind kind, long target) {
        return new HostRoute(
                "r",
                "h",
                "/",
                kind,
                12_000,
                target,
                150,
                1,
                List.of(new HostRoute.WeightedService("s", 1)),
                2,
                new HostRoute.Traits(false, true, true));
    }

    /** Guards against queueing a stream request until its caller has closed it after two seconds without an event. */
    @Test
    void refusesImmediatelyWhenTheExpectedWaitExceedsTheFirstByteTimeout() {
        WaitPolicy.Decision decision = WaitPolicy.decide(route(RequestKind.STREAMING, 500), 12_000, 0, 5_800, 0);
        assertThat(decision.waitMillis()).isZero();
        assertThat(decision.retryMillis()).isEqualTo(5_800);
    }

    @Test
    void queuesWhenASlotIsExpectedSoon() {
        WaitPolicy.Decision decision = WaitPolicy.decide(route(RequestKind.STREAMING, 500), 12_000, 100, 250, 0);
        assertThat(decision.waitMillis()).isBetween(500L, 1_200L);
    }

    @Test
    void queuesLongerWithALongerLatencyTarget() {
        assertThat(WaitPolicy.decide(route(RequestKind.STREAMING, 5_000), 12_000, 0, 5_800, 0)
                        .waitMillis())
                .isPositive();
    }

    @Test
    void addsJitterToTheRetryTime() {
        HostRoute route = route(RequestKind.UNSAFE, 300);
        assertThat(WaitPolicy.decide(route, 2_000, 0, 5_000, 0.9).retryMillis())
                .isGreaterThan(WaitPolicy.decide(route, 2_000, 0, 5_000, 0).retryMillis());
    }

    /** Guards against batch requests that each cause a model exchange, although they could wait and share one load. */
    @Test
    void isUrgentOnlyWhenTheLatencyTargetIsNear() {
        HostRoute batchRoute = route(RequestKind.STREAMING, 5_000);
        assertThat(WaitPolicy.isUrgent(batchRoute, Shortage.NOT_RESIDENT, 0, () -> 1_200))
                .isFalse();
        assertThat(WaitPolicy.isUrgent(batchRoute, Shortage.NOT_RESIDENT, 3_000, () -> 1_200))
                .isTrue();
        assertThat(WaitPolicy.isUrgent(route(RequestKind.STREAMING, 500), Shortage.NOT_RESIDENT, 0, () -> 1_200))
                .isTrue();
    }

    /** Guards against resetting the wait estimate when a request that is already queued queries it. */
    @Test
    void isUrgentWithoutAnEstimateWhenWaitingForASlot() {
        assertThat(WaitPolicy.isUrgent(route(RequestKind.STREAMING, 5_000), Shortage.FULL, 0, () -> {
                    throw new IllegalStateException("the estimate must not be queried");
                }))
                .isTrue();
    }

    /** Guards against queueing requests for a model whose load always seems about to end but was never ordered. */
    @Test
    void expectsAnOverdueLoadToTakeAsLongAgain() {
        assertThat(WaitPolicy.expectedLoadMillis(4_000, 0)).isEqualTo(5_200);
        assertThat(WaitPolicy.expectedLoadMillis(4_000, 5_000)).isEqualTo(200);
        assertThat(WaitPolicy.expectedLoadMillis(4_000, 9_200)).isEqualTo(4_000);
        HostRoute liveRoute = route(RequestKind.STREAMING, 500);
        long expected = WaitPolicy.expectedLoadMillis(4_000, 9_200);
        assertThat(WaitPolicy.decide(liveRoute, 12_000, 0, expected, 0).waitMillis())
                .isZero();
    }

    /** Guards against queueing requests for an adapter that cannot be loaded because no adapter slot is free. */
    @Test
    void expectsALongMissingAdapterToTakeAsLongAgain() {
        assertThat(WaitPolicy.expectedAdapterLoadMillis(0)).isEqualTo(250);
        assertThat(WaitPolicy.expectedAdapterLoadMillis(3_000)).isEqualTo(3_000);
    }

    /** Guards against reporting a missing model as full, which does not count the request as demand for the model. */
    @Test
    void reportsAMissingModelEvenWhenOthersAreQueued() {
        assertThat(WaitPolicy.reasonToWait(Optional.of(Shortage.NOT_RESIDENT), 3))
                .contains(Shortage.NOT_RESIDENT);
    }

    @Test
    void reportsFullWhenEarlierRequestsAreQueued() {
        assertThat(WaitPolicy.reasonToWait(Optional.empty(), 1)).contains(Shortage.FULL);
        assertThat(WaitPolicy.reasonToWait(Optional.empty(), 0)).isEmpty();
    }
}
