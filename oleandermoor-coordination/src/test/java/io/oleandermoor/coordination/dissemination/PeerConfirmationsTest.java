package io.oleandermoor.coordination.dissemination;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.InstanceId;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class PeerConfirmationsTest {

    private static final InstanceId ONE = new InstanceId("one");
    private static final InstanceId TWO = new InstanceId("two");

    private final Freshness ownFreshness = new Freshness();
    private final Freshness otherFreshness = new Freshness();
    private final Disseminator own = disseminator(ownFreshness);
    private final Disseminator other = disseminator(otherFreshness);

    /** Guards against an entry that takes silence, or an old or recent confirmation, for a report of an outage. */
    @Test
    void countOnlyPeersThatLatelySaidThatTheyAreNotConfirmed() {
        assertThat(own.confirmations().unconfirmed(List.of(TWO), 10_000)).isZero();
        askOther(10_000);
        assertThat(own.confirmations().unconfirmed(List.of(TWO), 10_000)).isEqualTo(1);
        assertThat(own.confirmations().unconfirmed(List.of(), 10_000)).isZero();
        assertThat(own.confirmations().unconfirmed(List.of(TWO), 10_000 + PeerConfirmations.VALID_MILLIS))
                .isZero();
        otherFreshness.confirm(0, 12_000);
        askOther(16_900);
        assertThat(own.confirmations().unconfirmed(List.of(TWO), 16_900)).isZero();
        askOther(17_000);
        assertThat(own.confirmations().unconfirmed(List.of(TWO), 17_000)).isEqualTo(1);
    }

    /** Guards against an entry that refuses keys although one that it is connected to has a fresh confirmation. */
    @Test
    void bringTheNewestConfirmation() {
        otherFreshness.confirm(0, 9_000);
        askOther(10_000);
        assertThat(ownFreshness.ageMillis(10_000)).hasValue(1_020);
    }

    private void askOther(long nowMillis) {
        OutgoingMessage question = own.ask(List.of(TWO), nowMillis).messages().get(0);
        OutgoingMessage answer =
                other.receive(ONE, question.message(), nowMillis).messages().get(0);
        own.receive(TWO, answer.message(), nowMillis);
    }

    private static Disseminator disseminator(Freshness freshness) {
        return new Disseminator(RandomSource.XO_RO_SHI_RO_128_PP.create(1), freshness, item -> false);
    }
}
