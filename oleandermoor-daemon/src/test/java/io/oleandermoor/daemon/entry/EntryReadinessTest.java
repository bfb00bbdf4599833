package io.oleandermoor.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EntryReadinessTest {

    private final EntryReadiness readiness = new EntryReadiness();

    /** Guards against a restarted entry that is called ready while it refuses every request. */
    @Test
    void startsWhenRequestsCanBeServed() {
        assertThat(readiness.decide(false, 0, true, true).ready()).isFalse();
        assertThat(readiness.decide(false, 1, false, true).ready()).isFalse();
        assertThat(readiness.decide(false, 1, true, false).ready()).isFalse();
        assertThat(readiness.decide(false, 1, true, true).ready()).isTrue();
    }

    /** Guards against an outage of the key-value service that takes all entries out of service at once. */
    @Test
    void lastsThroughAnOutage() {
        readiness.decide(false, 1, true, true);
        assertThat(readiness.decide(false, 1, false, false).ready()).isTrue();
        assertThat(readiness.decide(true, 1, true, true).ready()).isFalse();
    }
}
