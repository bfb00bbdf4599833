package io.oleandermoor.coordination.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.configuration.ChangeAnswer.Accepted;
import io.oleandermoor.coordination.configuration.ChangeAnswer.Conflict;
import io.oleandermoor.coordination.store.FaultyKeyValueStore;
import io.oleandermoor.coordination.store.InMemoryKeyValueStore;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.identity.TeamName;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ConfigurationLogTest {

    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryKeyValueStore memory = new InMemoryKeyValueStore(scheduler);
    private final FaultyKeyValueStore store = new FaultyKeyValueStore(memory, scheduler);
    private final ConfigurationLog log = new ConfigurationLog(store, scheduler, "entry-1");

    @Test
    void conflictNamesTheCurrentVersion() {
        assertThat(accept(log, Changes.putTeam("a"), 0)).isEqualTo(new Accepted(1));
        assertThat(accept(log, Changes.putTeam("b"), 0)).isEqualTo(new Conflict(1));
        assertThat(accept(log, Changes.putTeam("b"), 1)).isEqualTo(new Accepted(2));
    }

    @Test
    void invalidChangeIsNotAccepted() {
        assertThat(accept(log, Changes.issueKeys("unknown", 1), 0)).isInstanceOf(ChangeAnswer.Invalid.class);
        assertThat(read(log).version()).isZero();
    }

    /** An operator who lost the answer may ask another entry, and refer to a later version. */
    @Test
    void repeatedChangeIdGetsTheEarlierAnswer() {
        accept(log, Changes.putTeam("a"), 0);
        accept(log, Changes.putTeam("b"), 1);
        ConfigurationLog other = new ConfigurationLog(memory, scheduler, "entry-2");
        assertThat(accept(other, Changes.putTeam("a"), 2)).isEqualTo(new Accepted(1));
        assertThat(read(other).version()).isEqualTo(2);
    }

    @Test
    void lostAnswersToAllWritesStillGiveOneVersion() {
        store.loseAnswers(2);
        TestObserver<ChangeAnswer> answer = log.accept(Changes.putTeam("a"), 0).test();
        scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        answer.assertValue(new Accepted(1));
        store.setDown(true);
        TestObserver<ChangeAnswer> failed = log.accept(Changes.putTeam("b"), 1).test();
        scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        failed.assertError(StoreException.class);
    }

    /** Guards against two changes in one version, and against a change that is reported accepted but missing. */
    @Property(tries = 20, seed = "20261204")
    void racingOperatorsLoseNoChange(@ForAll long seed) {
        Random random = new Random(seed);
        TestScheduler time = new TestScheduler();
        InMemoryKeyValueStore shared = new InMemoryKeyValueStore(time);
        List<Operator> operators = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            operators.add(new Operator(index, shared, time, random));
        }
        operators.forEach(Operator::submit);
        for (int step = 0; step < 400; step++) {
            time.advanceTimeBy(25, TimeUnit.MILLISECONDS);
            operators.forEach(Operator::step);
        }
        operators.forEach(Operator::recover);
        time.advanceTimeBy(10, TimeUnit.SECONDS);
        operators.forEach(Operator::step);
        time.advanceTimeBy(10, TimeUnit.SECONDS);

        Configuration result = read(new ConfigurationLog(shared, time, "reader"));
        Map<Long, String> winners = new HashMap<>();
        for (Operator operator : operators) {
            operator.accepted.forEach((team, version) -> {
                assertThat(winners.put(version, team))
                        .as("other winner of version %d", version)
                        .isNull();
                assertThat(result.team(new TeamName(team))).as("team %s", team).isPresent();
            });
        }
        assertThat(winners).hasSizeGreaterThan(10);
        assertThat(result.version()).isBetween((long) winners.size(), (long) winners.size() + operators.size());
    }

    @Test
    void snapshotReplacesOldChangesAndKeepsTheirIds() {
        for (int version = 0; version < 520; version++) {
            assertThat(accept(log, Changes.putTeam("team-" + version), version)).isEqualTo(new Accepted(version + 1));
        }
        assertThat(memory.list(ConfigurationLog.CHANGE_PREFIX).blockingGet()).hasSize(520 - 256);
        ConfigurationLog fresh = new ConfigurationLog(memory, scheduler, "entry-2");
        long before = memory.calls().reads();
        assertThat(read(fresh).version()).isEqualTo(520);
        assertThat(memory.calls().reads() - before).isEqualTo(3);
        assertThat(accept(fresh, Changes.putTeam("team-0"), 520)).isEqualTo(new Accepted(1));
    }

    @Test
    void snapshotAboveTheLimitOfAValueIsSplit() {
        accept(log, Changes.putTeam("large"), 0);
        assertThat(accept(log, Changes.issueKeys("large", 10_000), 1)).isEqualTo(new Accepted(2));
        assertThat(memory.list(ConfigurationLog.SNAPSHOT_PREFIX).blockingGet())
                .hasSizeGreaterThan(1)
                .allMatch(value -> value.value().length <= KeyValueStore.MAXIMUM_VALUE_BYTES);
        Configuration fresh = read(new ConfigurationLog(memory, scheduler, "entry-2"));
        assertThat(fresh.keys()).hasSize(10_000);
    }

    /** Guards against a version that falls when the service answers with an old copy. */
    @Test
    void staleHeadDoesNotLowerTheVersion() {
        accept(log, Changes.putTeam("a"), 0);
        read(log);
        ConfigurationLog other = new ConfigurationLog(memory, scheduler, "entry-2");
        accept(other, Changes.putTeam("b"), 1);
        assertThat(read(log).version()).isEqualTo(2);
        store.setStaleReads(true);
        accept(other, Changes.putTeam("c"), 2);
        assertThat(read(log).version()).isEqualTo(2);
        TestObserver<ChangeAnswer> answer = log.accept(Changes.putTeam("d"), 2).test();
        scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        answer.assertError(StoreException.class);
        store.setStaleReads(false);
        assertThat(accept(log, Changes.putTeam("d"), 2)).isEqualTo(new Conflict(3));
    }

    private static ChangeAnswer accept(ConfigurationLog log, ChangeSet changeSet, long expected) {
        return log.accept(changeSet, expected).blockingGet();
    }

    private static Configuration read(ConfigurationLog log) {
        return log.readAfter(0).blockingGet().configuration();
    }

    /** Submits one change after the other and repeats what was not answered. */
    private static final class Operator {
        private final int index;
        private final FaultyKeyValueStore store;
        private final ConfigurationLog log;
        private final Random random;
        private final Map<String, Long> accepted = new HashMap<>();
        private TestObserver<ChangeAnswer> pending = new TestObserver<>();
        private long expected;
        private int number;
        private boolean failed;

        Operator(int index, KeyValueStore shared, TestScheduler time, Random random) {
            this.index = index;
            this.random = random;
            store = new FaultyKeyValueStore(shared, time);
            log = new ConfigurationLog(store, time, "entry-" + index);
        }

        void step() {
            if (random.nextInt(20) == 0) {
                disturb();
            }
            if (!pending.values().isEmpty()) {
                ChangeAnswer answer = pending.values().get(0);
                if (answer instanceof Accepted change) {
                    accepted.put(team(), change.version());
                    expected = change.version();
                    number++;
                } else if (answer instanceof Conflict conflict) {
                    expected = conflict.currentVersion();
                }
                submit();
            } else if (failed) {
                submit();
            }
        }

        void submit() {
            failed = false;
            pending = log.accept(Changes.putTeam(team()), expected)
                    .doOnError(failure -> failed = true)
                    .test();
        }

        void recover() {
            store.setDown(false);
            store.loseAnswers(0);
            store.setDelay(Duration.ZERO, Duration.ZERO);
        }

        private void disturb() {
            switch (random.nextInt(4)) {
                case 0 -> store.setDown(true);
                case 1 -> store.loseAnswers(1 + random.nextInt(8));
                case 2 ->
                    store.setDelay(Duration.ofMillis(random.nextInt(200)), Duration.ofMillis(random.nextInt(200)));
                default -> recover();
            }
        }

        private String team() {
            return "team-" + index + "-" + number;
        }
    }
}
