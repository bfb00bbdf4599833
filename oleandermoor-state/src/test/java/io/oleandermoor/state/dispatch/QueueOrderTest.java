package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.QueueOrder.Position;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QueueOrderTest {

    private static final long TARGET_MILLIS = 500;

    private static Position position(int urgency, long sequenceNumber, long arrivedMillis) {
        return new Position(urgency, sequenceNumber, arrivedMillis + TARGET_MILLIS);
    }

    @Nested
    class Comparing {

        private final Comparator<Position> order = QueueOrder.REACHABLE_TARGET_FIRST.comparator(1_000);

        /** Guards against less urgent requests that pass more urgent ones. */
        @Test
        void urgencyPrecedesReachableTargets() {
            assertThat(order.compare(position(0, 1, 0), position(1, 2, 900))).isNegative();
        }

        @Test
        void reachableTargetPrecedesEarlierArrival() {
            assertThat(order.compare(position(1, 1, 0), position(1, 2, 900))).isPositive();
        }

        @Test
        void arrivalDecidesAmongReachableTargets() {
            assertThat(order.compare(position(1, 1, 600), position(1, 2, 900))).isNegative();
        }
    }

    /** Requests that arrive faster than slots become free. */
    @Nested
    class UnderSustainedOverload {

        private static final long SLOT_INTERVAL_MILLIS = 50;
        private static final long ARRIVAL_INTERVAL_MILLIS = 40;
        private static final long MAXIMUM_WAIT_MILLIS = 1_900;
        private static final long DURATION_MILLIS = 20_000;

        private int started;
        private int startedInTime;

        private void play(QueueOrder order) {
            List<Position> queue = new ArrayList<>();
            started = 0;
            startedInTime = 0;
            for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis++) {
                if (nowMillis % ARRIVAL_INTERVAL_MILLIS == 0) {
                    queue.add(position(1, nowMillis, nowMillis));
                }
                long expiredBefore = nowMillis - MAXIMUM_WAIT_MILLIS + TARGET_MILLIS;
                queue.removeIf(position -> position.targetMillis() < expiredBefore);
                if (nowMillis % SLOT_INTERVAL_MILLIS == 0 && !queue.isEmpty()) {
                    queue.sort(order.comparator(nowMillis));
                    Position first = queue.remove(0);
                    started++;
                    startedInTime += first.targetMillis() >= nowMillis ? 1 : 0;
                }
            }
        }

        /** Guards against an overload in which every caller waits so long that none is served in time. */
        @Test
        void mostRequestsThatStartDoSoInTime() {
            play(QueueOrder.ARRIVAL);
            int startedByArrival = started;
            int startedInTimeByArrival = startedInTime;
            play(QueueOrder.REACHABLE_TARGET_FIRST);
            assertThat(started).isEqualTo(startedByArrival);
            assertThat(startedInTime).isGreaterThan(2 * startedInTimeByArrival).isGreaterThan(started * 3 / 4);
        }
    }
}
