package io.oleandermoor.coordination.lease;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.lease.LeaseFleet.Process;
import io.reactivex.rxjava3.observers.TestObserver;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaseKeeperTest {

    private static final String NAME = "owner/placement";
    /** One clock 1% slow against a service clock 1% fast. */
    private static final double SLOWEST_CLOCK = 0.99 / 1.01;

    private final LeaseFleet fleet = new LeaseFleet();

    /** Guards against two owners at one true time, and against fencing numbers that do not grow. */
    @Property(tries = 60, seed = "20261204")
    void atMostOneOwnerUnderPausesDriftOutagesAndLostAnswers(@ForAll long seed) {
        LeaseFleet racing = new LeaseFleet();
        Random random = new Random(seed);
        for (int process = 0; process < 3; process++) {
            racing.add(SLOWEST_CLOCK + random.nextDouble() * (1 / SLOWEST_CLOCK - SLOWEST_CLOCK), List.of(NAME));
        }
        long lastFencing = 0;
        int ownedSteps = 0;
        for (int step = 0; step < 2400; step++) {
            if (random.nextInt(40) == 0) {
                disturb(racing.processes.get(random.nextInt(3)), random);
            }
            racing.advance(50);
            List<Process> owners = racing.owners(NAME);
            assertThat(owners).as("owners at step %d", step).hasSizeLessThanOrEqualTo(1);
            for (Process owner : owners) {
                long fencing = owner.terms.get(owner.terms.size() - 1).fencing().value();
                assertThat(fencing).isGreaterThanOrEqualTo(lastFencing);
                lastFencing = fencing;
                ownedSteps++;
            }
        }
        assertThat(ownedSteps).as("steps with an owner").isGreaterThan(240);
    }

    private static void disturb(Process process, Random random) {
        switch (random.nextInt(7)) {
            case 0 -> process.own.pause();
            case 1 -> process.store.setDown(true);
            case 2 -> process.store.loseAnswers(1 + random.nextInt(3));
            case 3 ->
                process.store.setDelay(
                        Duration.ofMillis(random.nextInt(3000)), Duration.ofMillis(random.nextInt(3000)));
            default -> {
                process.own.resume();
                process.store.setDown(false);
                process.store.setDelay(Duration.ZERO, Duration.ZERO);
            }
        }
    }

    @Nested
    class OneOwner {

        @Test
        void pausedOwnerFindsItselfNoLongerOwnerAtItsFirstCheck() {
            fleet.add(SLOWEST_CLOCK, List.of(NAME));
            fleet.add(1, List.of(NAME));
            fleet.advance(10_000);
            Process owner = fleet.owners(NAME).get(0);
            Ownership term = owner.terms.get(0);
            owner.own.pause();
            fleet.advance(15_000);
            assertThat(term.isOwner(owner.clockMillis())).isFalse();
            Process successor = fleet.owners(NAME).get(0);
            assertThat(successor).isNotSameAs(owner);
            assertThat(successor.terms.get(0).fencing()).isGreaterThan(term.fencing());
            owner.own.resume();
            fleet.advance(1_000);
            assertThat(owner.ended).containsExactly(term);
            assertThat(fleet.owners(NAME)).containsExactly(successor);
        }

        @Test
        void ownerAcquiresAnewAfterAnOutage() {
            Process owner = fleet.add(1, List.of(NAME));
            fleet.advance(1_000);
            owner.store.setDown(true);
            fleet.advance(7_000);
            assertThat(fleet.owners(NAME)).isEmpty();
            owner.store.setDown(false);
            fleet.advance(7_000);
            assertThat(owner.terms).hasSize(2);
            assertThat(owner.terms.get(1).fencing())
                    .isGreaterThan(owner.terms.get(0).fencing());
            assertThat(owner.owns(NAME)).isTrue();
        }

        @Test
        void takesANameWhoseWriteWasAppliedButNeverAnswered() {
            Process owner = fleet.add(1, List.of(NAME));
            owner.store.setDelay(Duration.ZERO, Duration.ofMillis(10));
            fleet.advance(25);
            owner.store.loseAnswers(4);
            fleet.advance(5_000);
            assertThat(owner.owns(NAME)).isTrue();
            assertThat(owner.terms).extracting(Ownership::fencing).containsExactly(new FencingNumber(1));
        }

        /** The service may lose a lease early. The owner learns it at its next renewal; until then fencing protects. */
        @Test
        void ownerWhoseLeaseTheServiceLostEndsAtTheNextRenewal() {
            Process owner = fleet.add(1, List.of(NAME));
            fleet.advance(1_000);
            owner.store.lapseLeases().blockingAwait();
            fleet.advance(2_500);
            assertThat(owner.ended).hasSize(1);
            fleet.advance(3_500);
            assertThat(owner.terms).hasSize(2);
            assertThat(owner.terms.get(1).fencing())
                    .isGreaterThan(owner.terms.get(0).fencing());
        }

        @Test
        void stopHandsTheNameOverWithoutWaitingForTheLease() {
            fleet.add(1, List.of(NAME));
            fleet.add(1, List.of(NAME));
            fleet.advance(10_000);
            Process owner = fleet.owners(NAME).get(0);
            TestObserver<Void> stopped = owner.keeper.stop().test();
            assertThat(owner.owns(NAME)).isFalse();
            fleet.advance(4_000);
            stopped.assertComplete();
            assertThat(owner.ended).hasSize(1);
            assertThat(fleet.owners(NAME)).hasSize(1).doesNotContain(owner);
        }
    }

    @Nested
    class Spread {

        private final List<String> names =
                IntStream.range(0, 12).mapToObj(group -> "owner/rate/" + group).toList();

        @Test
        void oneProcessThatHeldEverythingHandsNamesBack() {
            Process first = fleet.add(1, names);
            fleet.advance(5_000);
            assertThat(names).allMatch(first::owns);
            for (int process = 0; process < 5; process++) {
                fleet.add(1, names);
            }
            fleet.advance(120_000);
            Map<Process, Integer> counts = new HashMap<>();
            names.forEach(name -> counts.merge(fleet.owners(name).get(0), 1, Integer::sum));
            assertThat(counts.values()).allMatch(count -> count <= 6);
            assertThat(counts).hasSizeGreaterThanOrEqualTo(4);
        }

        /** Guards against an owner that takes its own old write for a new term just before its deletion arrives. */
        @Test
        void delayedHandOverLeavesOneOwner() {
            long handOverMillis = runUntilHandOver(new LeaseFleet(), Long.MAX_VALUE);
            runUntilHandOver(fleet, handOverMillis - 500);
            Process first = fleet.processes.get(0);
            first.store.setDelay(Duration.ZERO, Duration.ZERO);
            int owned = first.terms.size();
            for (int step = 0; step < 400; step++) {
                fleet.advance(50);
                for (String name : names) {
                    assertThat(fleet.owners(name)).as("owners of %s", name).hasSizeLessThanOrEqualTo(1);
                }
            }
            assertThat(first.terms).hasSize(owned);
            assertThat(names).anyMatch(first::owns).anyMatch(fleet.processes.get(1)::owns);
        }

        /** Returns when the first process hands names over; calls of that process are slow from a time on. */
        private long runUntilHandOver(LeaseFleet run, long slowFromMillis) {
            Process first = run.add(1, names);
            run.advance(5_000);
            run.add(1, names);
            run.add(1, names);
            while (first.ended.isEmpty()) {
                if (first.clockMillis() >= slowFromMillis) {
                    first.store.setDelay(Duration.ofSeconds(5), Duration.ZERO);
                }
                run.advance(50);
            }
            return first.clockMillis();
        }

        /** Guards against calls to the service that grow with the fleet. */
        @Test
        void callsDependOnTheNamesAndNotOnTheFleet() {
            List<Double> callsPerSecond = new ArrayList<>();
            for (int size : List.of(10, 100, 340)) {
                LeaseFleet sized = new LeaseFleet();
                for (int process = 0; process < size; process++) {
                    sized.add(1, names);
                }
                sized.advance(20_000);
                long before = sized.memory.calls().total();
                sized.advance(60_000);
                callsPerSecond.add((sized.memory.calls().total() - before) / 60.0);
                assertThat(names).allMatch(name -> sized.owners(name).size() == 1);
            }
            System.out.println("ownership of 12 names, calls/s with 10, 100 and 340 processes: " + callsPerSecond);
            assertThat(callsPerSecond).allMatch(rate -> rate < 2 * names.size());
        }
    }
}
