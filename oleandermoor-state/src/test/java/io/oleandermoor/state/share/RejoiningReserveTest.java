package io.oleandermoor.state.share;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RejoiningReserveTest {

    private static final double BURST = 1_000;

    private final RejoiningReserve reserve = new RejoiningReserve();

    /** Guards against new streams that are refused although no stream comes back. */
    @Test
    void keepsNothingWithoutStreamsThatAreTakenUp() {
        assertThat(reserve.tokens(BURST, 0)).isZero();
    }

    @Test
    void keepsWhatStreamsHaveAskedForUpToAPartOfTheBurst() {
        reserve.recordDemand(100, 0);
        assertThat(reserve.tokens(BURST, 0)).isEqualTo(100);
        reserve.recordDemand(1_000, 0);
        assertThat(reserve.tokens(BURST, 0)).isEqualTo(250);
    }

    @Test
    void forgetsPastDemand() {
        reserve.recordDemand(100, 0);
        assertThat(reserve.tokens(BURST, 1_000)).isBetween(50L, 99L);
        assertThat(reserve.tokens(BURST, 20_000)).isZero();
    }
}
