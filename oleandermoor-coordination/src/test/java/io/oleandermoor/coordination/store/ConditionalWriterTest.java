package io.oleandermoor.coordination.store;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.coordination.store.WriteOutcome.Effect;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConditionalWriterTest {

    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryKeyValueStore memory = new InMemoryKeyValueStore(scheduler);
    private final FaultyKeyValueStore store = new FaultyKeyValueStore(memory, scheduler);
    private final ConditionalWriter first = new ConditionalWriter(store, scheduler, "first");
    private final ConditionalWriter second = new ConditionalWriter(memory, scheduler, "second");

    @Test
    void lostAnswerIsResolvedAsApplied() {
        store.loseAnswers(1);
        TestObserver<WriteOutcome> outcome = write(first, "content");
        scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        outcome.assertValue(new WriteOutcome(Effect.APPLIED, 1));
        assertThat(memory.calls().writes()).isEqualTo(2);
    }

    /** A lost answer followed by another writer's change must not be reported as refused. */
    @Test
    void lostAnswerOverwrittenByAnotherIsSuperseded() {
        store.loseAnswers(1);
        TestObserver<WriteOutcome> outcome = write(first, "content");
        second.write("key", 1, "other".getBytes(UTF_8), Optional.empty()).test().assertComplete();
        scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        outcome.assertValue(new WriteOutcome(Effect.SUPERSEDED, 2));
    }

    @Test
    void outageIsReportedAsUnknown() {
        store.setDown(true);
        TestObserver<WriteOutcome> outcome = write(first, "content");
        scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        outcome.assertError(StoreException.class);
    }

    /** Guards against a write that both writers believe to have won, or that nobody won. */
    @Property(tries = 200, seed = "20261204")
    void exactlyOneOfTwoRacingWritersIsApplied(
            @ForAll @IntRange(max = 3) int lost, @ForAll @IntRange(max = 300) int startMillis) {
        ConditionalWriterTest fresh = new ConditionalWriterTest();
        fresh.store.loseAnswers(lost);
        fresh.store.setDelay(Duration.ofMillis(20), Duration.ofMillis(30));
        TestObserver<WriteOutcome> one = write(fresh.first, "one");
        fresh.scheduler.advanceTimeBy(startMillis, TimeUnit.MILLISECONDS);
        TestObserver<WriteOutcome> two = write(fresh.second, "two");
        fresh.scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        assertThat(one.values().get(0).applied())
                .isNotEqualTo(two.values().get(0).applied());
    }

    private static TestObserver<WriteOutcome> write(ConditionalWriter writer, String content) {
        return writer.write("key", 0, content.getBytes(UTF_8), Optional.empty()).test();
    }
}
