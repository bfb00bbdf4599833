package io.oleandermoor.coordination.dissemination;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.dissemination.DisseminationFleet.Process;
import io.oleandermoor.state.identity.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DisseminatorTest {

    private static final String CHANGE = "configuration/change/1";
    /** The target for a configuration change that is in force everywhere. */
    private static final long TARGET_MILLIS = 13_000;

    @Nested
    class Convergence {

        /** Guards against changes that reach some processes late or never when messages are lost. */
        @ParameterizedTest
        @CsvSource({"340, 0", "340, 0.1", "4940, 0", "4940, 0.1"})
        void changeReachesAllProcesses(int size, double lossRate) {
            long slowestMillis = 0;
            double bytes = 0;
            double messages = 0;
            for (long seed = 1; seed <= 3; seed++) {
                DisseminationFleet fleet = new DisseminationFleet(size, seed);
                fleet.lossRate = lossRate;
                fleet.run(2_000);
                DisseminationCounters before = total(fleet);
                fleet.publish(0, item(CHANGE, 1, 400));
                long millis = fleet.millisUntilAllHave(CHANGE, 1, TARGET_MILLIS);
                assertThat(millis).as("milliseconds with seed %d", seed).isBetween(0L, TARGET_MILLIS);
                slowestMillis = Math.max(slowestMillis, millis);
                DisseminationCounters after = total(fleet);
                bytes += (after.sentBytes() - before.sentBytes()) / 3.0 / size;
                messages += (after.sentMessages() - before.sentMessages()) / 3.0 / size;
            }
            System.out.printf(
                    "one change, %d processes, loss %.0f%%: slowest of 3 %d ms (%d steps), %.1f messages and %.0f bytes sent per process%n",
                    size,
                    lossRate * 100,
                    slowestMillis,
                    slowestMillis / DisseminationFleet.STEP_MILLIS,
                    messages,
                    bytes);
        }

        /** Guards against a digest that costs more than control may cost a node. */
        @Test
        void trafficWithThousandsOfItemsStaysBelowTwoKilobytesPerSecond() {
            DisseminationFleet fleet = new DisseminationFleet(340, 7);
            List<Item> members = new ArrayList<>();
            for (int index = 0; index < 4940; index++) {
                members.add(item("member/process-" + index, 1_000_000_000L, 120));
            }
            for (Process process : fleet.processes) {
                // Given to each process directly, as after a long run.
                process.disseminator.receive(
                        new InstanceId("loader"),
                        ItemMessage.builder().items(members).build(),
                        0);
            }
            DisseminationCounters before = total(fleet);
            Random random = new Random(7);
            int seconds = 120;
            int changes = 0;
            for (int second = 0; second < seconds; second++) {
                if (random.nextDouble() < 16_000 / 86_400.0) {
                    changes++;
                    fleet.publish(random.nextInt(340), item("configuration/change/" + changes, changes, 400));
                }
                if (random.nextDouble() < 0.1) {
                    int member = random.nextInt(4940);
                    fleet.publish(random.nextInt(340), item("member/process-" + member, 2_000_000_000L + second, 120));
                }
                fleet.run(1_000);
            }
            DisseminationCounters after = total(fleet);
            double sent = (after.sentBytes() - before.sentBytes()) / 340.0 / seconds;
            double received = (after.receivedBytes() - before.receivedBytes()) / 340.0 / seconds;
            double messages = (after.sentMessages() - before.sentMessages()) / 340.0 / seconds;
            System.out.printf(
                    "4,940 items, %d changes in %d s: sent %.0f and received %.0f bytes/s, sent %.1f messages/s per process%n",
                    changes, seconds, sent, received, messages);
            assertThat(sent + received).isLessThan(2_000);
        }
    }

    @Nested
    class Repair {

        @Test
        void partitionHealsWithTheNewestVersions() {
            DisseminationFleet fleet = new DisseminationFleet(60, 3);
            fleet.cut = delivery -> side(delivery.sender()) != side(delivery.receiver());
            for (int index = 0; index < 300; index++) {
                fleet.publish(index % 60, item("item-" + index, 1 + index % 3, 50));
            }
            fleet.run(20_000);
            assertThat(fleet.processes.get(0).disseminator.items()).hasSizeLessThan(300);
            fleet.cut = delivery -> false;
            fleet.publish(0, item("item-0", 9, 50));
            fleet.run(15_000);
            for (Process process : fleet.processes) {
                assertThat(process.disseminator.items()).hasSize(300);
                assertThat(process.has("item-0", 9)).isTrue();
            }
        }

        private int side(InstanceId id) {
            return Integer.parseInt(id.value().substring(8)) % 2;
        }

        @Test
        void removedItemDoesNotComeBackFromAPeerThatWasCutOff() {
            DisseminationFleet fleet = new DisseminationFleet(5, 3);
            fleet.publish(0, item("member/gone", 4, 50));
            fleet.run(5_000);
            for (Process process : fleet.processes.subList(0, 4)) {
                process.disseminator.remove(item -> item.name().equals("member/gone"), fleet.nowMillis());
            }
            fleet.run(20_000);
            assertThat(fleet.processes.get(0).disseminator.item("member/gone")).isEmpty();
            fleet.publish(0, item("member/gone", 5, 50));
            fleet.run(5_000);
            assertThat(fleet.processes).allMatch(process -> process.has("member/gone", 5));
        }

        @Test
        void providedContentIsSentOnRequestOnly() {
            DisseminationFleet fleet = new DisseminationFleet(2, 3);
            Disseminator provider = fleet.processes.get(0).disseminator;
            Disseminator reader = fleet.processes.get(1).disseminator;
            provider.provide("snapshot", () -> Optional.of(item("snapshot", 5, 1000)));
            reader.provide("snapshot", Optional::empty);
            InstanceId readerId = fleet.processes.get(1).id;
            DisseminationStep answer = provider.receive(
                    readerId, reader.request("snapshot").messages().get(0).message(), 0);
            DisseminationStep result = reader.receive(
                    fleet.processes.get(0).id, answer.messages().get(0).message(), 0);
            assertThat(result.accepted()).singleElement().matches(item -> item.version() == 5);
            assertThat(reader.items()).isEmpty();
        }

        @Test
        void peerThatDoesNotAnswerIsNamed() {
            DisseminationFleet fleet = new DisseminationFleet(2, 3);
            Disseminator disseminator = fleet.processes.get(0).disseminator;
            disseminator.setPeers(List.of(new InstanceId("silent")), List.of());
            disseminator.exchange(0);
            assertThat(disseminator.exchange(1_000).unanswered()).isEmpty();
            assertThat(disseminator.exchange(2_000).unanswered()).containsExactly(new InstanceId("silent"));
        }
    }

    /** Guards against an old copy that replaces a newer version, whatever the order of messages. */
    @Property(tries = 100, seed = "20261204")
    void versionsNeverFall(@ForAll long seed) {
        Random random = new Random(seed);
        DisseminationFleet fleet = new DisseminationFleet(6, seed);
        fleet.lossRate = 0.3;
        Map<String, Long> newest = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            Item item = item("item-" + random.nextInt(5), 1 + random.nextInt(20), 10);
            fleet.publish(random.nextInt(6), item);
            newest.merge(item.name(), item.version(), Math::max);
            fleet.step();
        }
        fleet.lossRate = 0;
        fleet.run(15_000);
        for (Process process : fleet.processes) {
            Map<String, Long> seen = new HashMap<>();
            for (Item item : process.accepted) {
                assertThat(item.version()).isGreaterThan(seen.getOrDefault(item.name(), 0L));
                seen.put(item.name(), item.version());
            }
            newest.forEach(
                    (name, version) -> assertThat(process.has(name, version)).isTrue());
        }
    }

    private static Item item(String name, long version, int bytes) {
        return new Item(name, version, new byte[bytes]);
    }

    private static DisseminationCounters total(DisseminationFleet fleet) {
        return fleet.processes.stream()
                .map(process -> process.disseminator.counters())
                .reduce(
                        new DisseminationCounters(0, 0, 0, 0),
                        (left, right) -> new DisseminationCounters(
                                left.sentMessages() + right.sentMessages(),
                                left.sentBytes() + right.sentBytes(),
                                left.receivedMessages() + right.receivedMessages(),
                                left.receivedBytes() + right.receivedBytes()));
    }
}
