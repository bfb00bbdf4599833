package io.oleandermoor.state.share;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RejoiningReserveTest {

    private static final double BURST = 1_000;

    private final RejoiningReserve reserve = new RejoiningReserve();

    /** Guards against new streams that are refused although no stream comes back. */
    @Test
    void keepsNothingWithoutStreamsThatAreTakenUp() {
        assertThat(reserve.tokens(BURST, 1, 0)).isZero();
    }

    @Test
    void keepsWhatStreamsHaveAskedForUpToAPartOfTheBurst() {
        reserve.recordRefusal(100, BURST, 0);
        assertThat(reserve.tokens(BURST, 1, 0)).isEqualTo(100);
        reserve.recordRefusal(1_000, BURST, 0);
        assertThat(reserve.tokens(BURST, 1, 0)).isEqualTo(250);
    }

    /** Guards against large requests that are never served while streams are taken up. */
    @Test
    void leavesAFullBucketToALargeRequest() {
        reserve.recordRefusal(1_000, BURST, 0);
        assertThat(reserve.tokens(BURST, 900, 0)).isEqualTo(100);
        assertThat(reserve.tokens(BURST, 2_000, 0)).isZero();
    }

    @Test
    void forgetsPastDemand() {
        reserve.recordRefusal(100, BURST, 0);
        assertThat(reserve.tokens(BURST, 1, 1_000)).isBetween(50L, 99L);
        assertThat(reserve.tokens(BURST, 1, 20_000)).isZero();
    }

    /** Guards against a caller that keeps tokens for long by one request that no bucket could serve. */
    @Test
    void forgetsAHugeDemandAsFast() {
        reserve.recordRefusal(Long.MAX_VALUE, BURST, 0);
        assertThat(reserve.tokens(BURST, 1, 20_000)).isZero();
    }
}
