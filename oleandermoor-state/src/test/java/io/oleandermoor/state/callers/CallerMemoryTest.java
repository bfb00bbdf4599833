package io.oleandermoor.state.callers;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerMemoryTest {

    private static final long LARGE = 20 << 10;

    private final CallerMemory<String> memory = new CallerMemory<>(100 << 10);

    private CallerMemory<String>.Holding hold(String address, String connection, long bytes) {
        CallerMemory<String>.Holding holding = memory.open(address, connection);
        holding.setUnfinished(true);
        holding.add(bytes);
        return holding;
    }

    @Nested
    class Excess {

        @Test
        void isEmptyUpToTheBound() {
            for (int connection = 0; connection < 5; connection++) {
                hold("a", "a" + connection, LARGE);
            }
            assertThat(memory.excess()).isEmpty();
        }

        @Test
        void isTheOldestOfTheAddressThatHoldsTheMost() {
            hold("b", "b0", LARGE);
            CallerMemory<String>.Holding oldest = hold("a", "a0", LARGE);
            hold("a", "a1", LARGE);
            hold("a", "a2", LARGE);
            hold("b", "b1", LARGE + 1);
            assertThat(memory.excess()).contains("a0");
            oldest.close();
            assertThat(memory.excess()).isEmpty();
        }

        /** Guards against dropping a request that is being served, or an ordinary one because of a crowd. */
        @Test
        void leavesServedAndSmallRequestsAlone() {
            hold("a", "served", 10 * LARGE).setUnfinished(false);
            hold("a", "small", CallerMemory.GUARANTEED_BYTES);
            assertThat(memory.excess()).isEmpty();
            hold("b", "large", LARGE);
            assertThat(memory.excess()).contains("large");
        }

        /** Guards against a heap that is exhausted by very many connections, each with a small unfinished request. */
        @Test
        void includesSmallRequestsWhenTheyAloneExceedTheBound() {
            for (int connection = 0; connection < 12; connection++) {
                hold("a", "a" + connection, CallerMemory.GUARANTEED_BYTES);
            }
            assertThat(memory.excess()).isEmpty();
            CallerMemory<String>.Holding last = hold("b", "b0", CallerMemory.GUARANTEED_BYTES);
            assertThat(memory.excess()).contains("a0");
            last.setUnfinished(false);
            assertThat(memory.excess()).isEmpty();
        }

        /** Guards against an account that counts the memory of a connection again after its end. */
        @Test
        void ignoresChangesOfClosedConnections() {
            CallerMemory<String>.Holding holding = hold("a", "a0", LARGE);
            holding.close();
            holding.close();
            holding.add(100 * LARGE);
            holding.setUnfinished(true);
            assertThat(memory.usedBytes()).isZero();
            assertThat(memory.excess()).isEmpty();
        }
    }
}
