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

    /** Returns the number of requests in a period in which each request is answered immediately. */
    private int requests(List<EngineListing.Entry> residents, long fromMillis, long toMillis) {
        int requests = 0;
        for (long now = fromMillis; now < toMillis; now += 50) {
            if (schedule.beginRequestIfDue(residents, now)) {
                requests++;
                schedule.onAnswer(false, now);
            }
        }
        return requests;
    }

    /** Guards against overload of the owner by frequent requests of all agents while nothing changes. */
    @Test
    void requestsAtIdleIntervalWhileNothingChanges() {
        assertThat(requests(READY, 0, 300_000)).isBetween(10, 11);
    }

    /** Guards against a completed load that the owner learns of only after the idle interval. */
    @Test
    void requestsWithoutDelayAfterResidentsChange() {
        requests(LOADING, 0, 5_000);
        assertThat(schedule.beginRequestIfDue(READY, 5_000)).isTrue();
        schedule.onAnswer(false, 5_010);
        assertThat(schedule.beginRequestIfDue(LOADING, 5_050)).isFalse();
        assertThat(schedule.beginRequestIfDue(LOADING, 5_100)).isTrue();
    }

    /** Guards against a second request that invalidates the answer to the first one and so loses its steps. */
    @Test
    void sendsNoRequestWhileAnswerIsPending() {
        assertThat(schedule.beginRequestIfDue(LOADING, 0)).isTrue();
        schedule.onNotification();
        assertThat(schedule.beginRequestIfDue(READY, 200)).isFalse();
        schedule.onAnswer(true, 250);
        assertThat(schedule.beginRequestIfDue(READY, 250)).isTrue();
    }

    /** Guards against an agent that waits indefinitely after its request or the answer was lost. */
    @Test
    void repeatsUnansweredRequest() {
        assertThat(schedule.beginRequestIfDue(READY, 0)).isTrue();
        assertThat(schedule.beginRequestIfDue(READY, 450)).isFalse();
        assertThat(schedule.beginRequestIfDue(READY, 500)).isTrue();
    }

    /** Guards against pending steps, or a new owner without the engine's state, that wait for the idle interval. */
    @Test
    void requestsOnceAfterNotificationAndAfterOwnerChange() {
        requests(READY, 0, 5_000);
        schedule.onNotification();
        assertThat(requests(READY, 5_000, 10_000)).isEqualTo(1);
        schedule.onOwnerChange();
        assertThat(requests(READY, 10_000, 15_000)).isEqualTo(1);
    }

    /** Guards against lost or refused steps that are requested again only after the idle interval. */
    @Test
    void requestsAtActiveIntervalWhileStepsAreExecuted() {
        assertThat(schedule.beginRequestIfDue(READY, 0)).isTrue();
        schedule.onAnswer(true, 0);
        assertThat(requests(READY, 50, 10_000)).isEqualTo(19);
        assertThat(requests(READY, 10_000, 30_000)).isZero();
    }
}
