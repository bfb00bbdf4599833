package io.oleandermoor.state.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunContactTest {

    private final RunContact contact = RunContact.unbroken();

    @Test
    void isCertainWithoutALoss() {
        assertThat(contact.isUncertain()).isFalse();
    }

    @Nested
    class AfterALoss {

        @Test
        void onlyALaterConfirmationCounts() {
            contact.recordLost(100);
            contact.recordConfirmed(100);
            assertThat(contact.isUncertain()).isTrue();
            contact.recordConfirmed(101);
            assertThat(contact.isUncertain()).isFalse();
            contact.recordLost(102);
            assertThat(contact.isUncertain()).isTrue();
        }

        @Test
        void theNextRunIsUncertainToo() {
            contact.recordLost(100);
            contact.recordConfirmed(101);
            assertThat(contact.next().isUncertain()).isTrue();
        }

        @Test
        void actionsWaitUntilItIsCertain() {
            AtomicInteger count = new AtomicInteger();
            contact.whenCertain(count::incrementAndGet);
            contact.recordLost(100);
            contact.whenCertain(count::incrementAndGet);
            contact.recordConfirmed(99);
            assertThat(count).hasValue(1);
            contact.recordConfirmed(101);
            contact.recordConfirmed(102);
            assertThat(count).hasValue(2);
        }
    }

    /** Guards against an entry that runs out of memory while a run is not confirmed. */
    @Test
    void boundsTheActionsThatWait() {
        AtomicInteger count = new AtomicInteger();
        contact.recordLost(100);
        for (int action = 0; action < 10_000; action++) {
            contact.whenCertain(count::incrementAndGet);
        }
        contact.recordConfirmed(101);
        assertThat(count).hasValue(512);
    }

    @Nested
    class Refuted {

        @Test
        void endsWithAConfirmationOrAnotherLoss() {
            contact.recordLost(100);
            contact.recordRefuted();
            contact.recordConfirmed(99);
            assertThat(contact.isRefuted()).isTrue();
            contact.recordConfirmed(101);
            assertThat(contact.isRefuted()).isFalse();
            contact.recordLost(102);
            contact.recordRefuted();
            contact.recordLost(103);
            assertThat(contact.isRefuted()).isFalse();
        }
    }
}
