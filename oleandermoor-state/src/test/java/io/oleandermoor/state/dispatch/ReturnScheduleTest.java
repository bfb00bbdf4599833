package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {

    private static final long SPACING_MILLIS = 100;
    private static final long MAXIMUM_DELAY_MILLIS = 5_000;

    private final ReturnSchedule schedule = new ReturnSchedule();

    private long reserve(String resource, long delayMillis, long nowMillis) {
        return schedule.reserve(resource, delayMillis, SPACING_MILLIS, MAXIMUM_DELAY_MILLIS, nowMillis);
    }

    @Nested
    class Reserving {

        @Test
        void firstCallerReturnsAfterTheGivenDelay() {
            assertThat(reserve("m", 300, 0)).isEqualTo(300);
        }

        @Test
        void laterCallersReturnOneAfterTheOther() {
            reserve("m", 300, 0);
            assertThat(reserve("m", 300, 10)).isEqualTo(390);
            assertThat(reserve("m", 300, 20)).isEqualTo(480);
        }

        @Test
        void tracksEachResourceSeparately() {
            reserve("m", 300, 0);
            assertThat(reserve("other", 300, 0)).isEqualTo(300);
        }

        /** Guards against a long burst that lets callers of a later one wait for nothing. */
        @Test
        void callerThatCannotWaitReservesNothing() {
            reserve("m", 4_950, 0);
            assertThat(reserve("m", 300, 0)).isEqualTo(MAXIMUM_DELAY_MILLIS);
            assertThat(reserve("m", 300, 3_000)).isEqualTo(2_050);
        }
    }

    /** A burst of callers that are refused at once, as when the copies of a model are full. */
    @Nested
    class AfterABurst {

        private static final int REFUSED_CALLERS = 40;

        /** Returns how many callers return while the slots of that period are taken by earlier ones. */
        private int refusedAgain(List<Long> returns) {
            long nextFreeMillis = 0;
            int refused = 0;
            List<Long> sorted = returns.stream().sorted().toList();
            for (long returnMillis : sorted) {
                if (returnMillis < nextFreeMillis) {
                    refused++;
                } else {
                    nextFreeMillis = returnMillis + SPACING_MILLIS;
                }
            }
            return refused;
        }

        /** Guards against callers that are refused again because all of them were told to return at the same time. */
        @Test
        void returningCallersFindAFreeSlot() {
            List<Long> equalDelays = new ArrayList<>();
            List<Long> reserved = new ArrayList<>();
            for (int caller = 0; caller < REFUSED_CALLERS; caller++) {
                long nowMillis = caller * 10L;
                equalDelays.add(nowMillis + 300);
                reserved.add(nowMillis + reserve("m", 300, nowMillis));
            }
            assertThat(refusedAgain(equalDelays)).isGreaterThan(REFUSED_CALLERS / 2);
            assertThat(refusedAgain(reserved)).isZero();
        }
    }
}
