package io.oleandermoor.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Residency;
import java.util.List;
import org.junit.jupiter.api.Test;

class StepRequestScheduleTest {

    private static final List<EngineListing.Entry> LOADING = residents(Residency.LOADING);
    private static final List<EngineListing.Entry> READY = residents(Residency.READY);

    private final StepRequestSchedule schedule = new StepRequestSchedule();

    private static List<EngineListing.Entry> residents(Residency residency) {
        return List.of(new EngineListing.Entry(new ModelVersion(new ModelName("drafts"), "1"), 100, residency));
    }

    /** Returns the number of requests in a time, each answered at once. */
    private int requests(List<EngineListing.Entry> residents, long fromMillis, long toMillis) {
        int requests = 0;
        for (long now = fromMillis; now < toMillis; now += 50) {
            if (schedule.isDue(residents, now)) {
                requests++;
                schedule.answered(false, now);
            }
        }
        return requests;
    }

    /** Guards against a load of requests on the owner that grows with the fleet while nothing changes. */
    @Test
    void asksRarelyWhileNothingChanges() {
        assertThat(requests(READY, 0, 300_000)).isBetween(10, 11);
    }

    /** Guards against a load that is noticed late by the owner. */
    @Test
    void asksAtOnceAfterAChange() {
        requests(LOADING, 0, 5_000);
        assertThat(schedule.isDue(READY, 5_000)).isTrue();
        schedule.answered(false, 5_010);
        assertThat(schedule.isDue(LOADING, 5_050)).isFalse();
        assertThat(schedule.isDue(LOADING, 5_100)).isTrue();
    }

    /** Guards against a second request that makes the answer to the first one, with its steps, invalid. */
    @Test
    void doesNotAskWhileAnAnswerIsOutstanding() {
        assertThat(schedule.isDue(LOADING, 0)).isTrue();
        schedule.notified();
        assertThat(schedule.isDue(READY, 200)).isFalse();
        schedule.answered(true, 250);
        assertThat(schedule.isDue(READY, 250)).isTrue();
    }

    /** Guards against an agent that waits although its request or the answer was lost. */
    @Test
    void repeatsAnUnansweredRequest() {
        assertThat(schedule.isDue(READY, 0)).isTrue();
        assertThat(schedule.isDue(READY, 450)).isFalse();
        assertThat(schedule.isDue(READY, 500)).isTrue();
    }

    /** Guards against steps that wait for the next rare request, and an owner that never hears of the engine. */
    @Test
    void asksAfterANotificationAndForANewOwner() {
        requests(READY, 0, 5_000);
        schedule.notified();
        assertThat(requests(READY, 5_000, 10_000)).isEqualTo(1);
        schedule.ownerChanged();
        assertThat(requests(READY, 10_000, 15_000)).isEqualTo(1);
    }

    /** Guards against steps that were lost or refused and are asked for again only after a long time. */
    @Test
    void asksOftenWhileStepsAreCarriedOut() {
        assertThat(schedule.isDue(READY, 0)).isTrue();
        schedule.answered(true, 0);
        assertThat(requests(READY, 50, 10_000)).isEqualTo(19);
        assertThat(requests(READY, 10_000, 30_000)).isZero();
    }
}
