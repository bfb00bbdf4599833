package io.oleandermoor.coordination.dissemination;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.dissemination.DisseminationFleet.Process;
import java.util.List;
import org.junit.jupiter.api.Test;

class FreshnessTest {

    private final Freshness freshness = new Freshness();

    @Test
    void confirmationOfAVersionThatIsNotInForceDoesNotCount() {
        freshness.versionInForce(4);
        freshness.confirm(5, 1_000);
        assertThat(freshness.ageMillis(1_500)).isEmpty();
        freshness.versionInForce(5);
        assertThat(freshness.ageMillis(1_500)).hasValue(500);
    }

    /** Guards against an answer that waited in a paused process or a silent connection and then looks fresh. */
    @Test
    void ageCountsFromTheQuestionAndNotFromTheAnswer() {
        freshness.confirm(new ConfirmedVersion(0, 1_000), 10_000);
        assertThat(freshness.ageMillis(70_000)).hasValue(61_020);
    }

    /** Guards against the same fault in the exchange itself. */
    @Test
    void lateAnswerToAnExchangeIsOld() {
        DisseminationFleet fleet = new DisseminationFleet(2, 3);
        Process asking = fleet.processes.get(0);
        Process answering = fleet.processes.get(1);
        asking.disseminator.setPeers(List.of(answering.id), List.of());
        answering.freshness.confirm(0, 0);
        OutgoingMessage question =
                asking.disseminator.exchange(1_000).messages().get(0);
        OutgoingMessage answer = answering
                .disseminator
                .receive(asking.id, question.message(), 1_000)
                .messages()
                .get(0);
        asking.disseminator.receive(answering.id, answer.message(), 61_000);
        assertThat(asking.freshness.ageMillis(61_000)).hasValue(61_020);
        asking.disseminator.receive(answering.id, answer.message(), 62_000);
        assertThat(asking.freshness.ageMillis(62_000)).hasValue(62_020);
    }

    /** Guards against entries that refuse keys although the service and the network work. */
    @Test
    void entriesStayFreshThroughPeers() {
        DisseminationFleet fleet = new DisseminationFleet(4940, 11);
        List<Process> entries = fleet.processes.subList(0, 340);
        for (int index = 0; index < 340; index++) {
            int region = index % 3;
            entries.get(index)
                    .disseminator
                    .setPeers(
                            fleet.processes.stream().map(process -> process.id).toList(),
                            List.of(entries.get(region).id, entries.get(region + 3).id, entries.get(region + 6).id));
        }
        long oldestMillis = 0;
        long sumMillis = 0;
        int samples = 0;
        for (int second = 0; second < 90; second++) {
            for (Process reader : entries.subList(0, 9)) {
                reader.freshness.confirm(0, fleet.nowMillis());
            }
            fleet.run(1_000);
            if (second >= 20) {
                for (Process entry : entries) {
                    long age = entry.freshness.ageMillis(fleet.nowMillis()).orElse(Long.MAX_VALUE);
                    oldestMillis = Math.max(oldestMillis, age);
                    sumMillis += age;
                    samples++;
                }
            }
        }
        System.out.printf(
                "freshness of 340 entries among 4,940 processes: mean %d ms, oldest %d ms, reader sends %d bytes/s%n",
                sumMillis / samples,
                oldestMillis,
                entries.get(0).disseminator.counters().sentBytes() / 90);
        assertThat(oldestMillis).isLessThan(6_000);
    }
}
