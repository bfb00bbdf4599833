package io.oleandermoor.state.callers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionSharesTest {

    private final ConnectionShares shares = new ConnectionShares(400);

    private long openFrom(String address, int count) {
        return IntStream.range(0, count)
                .filter(index -> shares.tryOpen(address))
                .count();
    }

    @Nested
    class TryOpen {

        /** Guards against a crowd behind one address that leaves no connections to callers of other addresses. */
        @Test
        void refusesAnAddressWithManyConnectionsOnceTheyAreScarce() {
            assertThat(openFrom("crowd", 500)).isEqualTo(300);
            assertThat(openFrom("other", 500)).isEqualTo(50);
        }

        @Test
        void neverExceedsTheMaximum() {
            for (int address = 0; address < 20; address++) {
                openFrom("address-" + address, 100);
            }
            assertThat(shares.open()).isEqualTo(shares.maximum());
            shares.close("address-0");
            assertThat(shares.tryOpen("new")).isTrue();
        }
    }
}
