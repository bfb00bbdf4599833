package io.oleandermoor.coordination.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.configuration.ServiceReadPolicy.Situation;
import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.store.FaultyKeyValueStore;
import io.oleandermoor.coordination.store.InMemoryKeyValueStore;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class ConfigurationFollowerTest {

    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryKeyValueStore memory = new InMemoryKeyValueStore(scheduler);
    private final FaultyKeyValueStore store = new FaultyKeyValueStore(memory, scheduler);
    private final ConfigurationLog operator = new ConfigurationLog(memory, scheduler, "operator");
    private final List<VersionedChange> found = new ArrayList<>();
    private int accepted;

    @Test
    void readerAppliesAndPassesOnEachChangeAndStaysFresh() {
        Process reader = new Process(true);
        for (int version = 0; version < 5; version++) {
            scheduler.advanceTimeBy(300, TimeUnit.MILLISECONDS);
            accept();
            scheduler.triggerActions();
            assertThat(reader.holder.configuration().version()).isEqualTo(version + 1);
        }
        assertThat(found).extracting(VersionedChange::version).containsExactly(1L, 2L, 3L, 4L, 5L);
        scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        assertThat(reader.freshness.ageMillis(now()).orElseThrow()).isLessThanOrEqualTo(1_250);
    }

    @Test
    void readerContinuesAfterAnOutage() {
        Process reader = new Process(true);
        scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        store.setDown(true);
        accept();
        scheduler.advanceTimeBy(60, TimeUnit.SECONDS);
        assertThat(reader.holder.configuration().version()).isZero();
        assertThat(reader.freshness.ageMillis(now()).orElseThrow()).isGreaterThan(59_000);
        store.setDown(false);
        scheduler.advanceTimeBy(2, TimeUnit.SECONDS);
        assertThat(reader.holder.configuration().version()).isEqualTo(1);
        assertThat(memory.calls().waitingWatches()).isEqualTo(1);
    }

    @Test
    void processWithoutPeersReadsTheServiceItself() {
        Process alone = new Process(false);
        scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        accept();
        scheduler.advanceTimeBy(17, TimeUnit.SECONDS);
        assertThat(alone.holder.configuration().version()).isEqualTo(1);
    }

    /** Guards against calls that grow with the fleet while it works, and against a storm of calls in an outage. */
    @Test
    void callsDoNotGrowWithTheFleet() {
        for (int size : new int[] {340, 4940}) {
            double working = callsPerSecond(size, true);
            double outage = callsPerSecond(size, false);
            System.out.printf(
                    "configuration reads with %d processes, 340 of them entries, 9 readers: %.1f calls/s, %.1f tried/s in an outage%n",
                    size, working, outage);
            assertThat(working).isBetween(6.0, 9.0);
            assertThat(outage).isLessThan(40);
        }
    }

    /** Peers are heard all the time; freshness is kept by peers only while the service works. */
    private static double callsPerSecond(int size, boolean working) {
        List<ServiceReadPolicy> policies = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            policies.add(new ServiceReadPolicy(RandomSource.SPLIT_MIX_64.create(index), index < 340));
        }
        long calls = 0;
        for (long nowMillis = 0; nowMillis < 600_000; nowMillis += 250) {
            for (int index = 0; index < size; index++) {
                boolean reader = index < 9;
                OptionalLong age = OptionalLong.of(working ? 2_000 : nowMillis);
                ServiceReadPolicy policy = policies.get(index);
                if (policy.decide(new Situation(reader, nowMillis, age, false), nowMillis)) {
                    policy.finished(working, reader, nowMillis + 1);
                    calls += nowMillis >= 300_000 ? 1 : 0;
                }
            }
        }
        return calls / 300.0;
    }

    private long now() {
        return scheduler.now(TimeUnit.MILLISECONDS);
    }

    private void accept() {
        operator.accept(Changes.putTeam("team-" + accepted), accepted)
                .test()
                .assertValue(new ChangeAnswer.Accepted(accepted + 1));
        accepted++;
    }

    private final class Process {
        private final ConfigurationHolder holder = new ConfigurationHolder();
        private final Freshness freshness = new Freshness();

        Process(boolean reader) {
            ServiceReadPolicy policy = new ServiceReadPolicy(RandomSource.SPLIT_MIX_64.create(5), false);
            ConfigurationLog log = new ConfigurationLog(store, scheduler, "entry-1");
            new ConfigurationFollower(
                            store, log, holder, freshness, policy, scheduler, ConfigurationFollowerTest.this::now)
                    .start(() -> reader, found::add);
        }
    }
}
