package io.oleandermoor.state.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.AttemptDecision.ReplyReason;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class AttemptTrackerTest {

    private static final UpstreamId FIRST = new UpstreamId("first");
    private int budget = 1;

    private AttemptTracker tracker(boolean repeatable) {
        return new AttemptTracker(
                new TrackedRequest(new RequestId(0, 1), repeatable, 3, 1_000, 100), () -> budget-- > 0);
    }

    private static AttemptDecision reply(Outcome outcome, ReplyReason reason) {
        return new AttemptDecision.Reply(outcome, reason, Optional.empty(), 0);
    }

    @Test
    @DisplayName("Guards against retries beyond the budget, and against a reply of not run after a lost attempt")
    void repliesUnknownWhenRetryBudgetIsExhaustedAfterLostAttempt() {
        AttemptTracker tracker = tracker(true);
        AttemptKey key = tracker.begin(FIRST, 1, 0);
        tracker.onEvent(new AttemptEvent.ChunkReceived(key, new TextChunk(0, 2, "ab")), 1);
        assertThat(tracker.onEvent(new AttemptEvent.AgentDead(key), 2))
                .isEqualTo(new AttemptDecision.Retry(Optional.empty(), Set.of(FIRST), 2));
        AttemptKey second = tracker.begin(new UpstreamId("second"), 1, 3);
        assertThat(tracker.onEvent(new AttemptEvent.NotRun(second, 1, NotRunReason.BUSY, 0), 4))
                .isEqualTo(reply(Outcome.UNKNOWN, ReplyReason.REFUSED));
        assertThat(tracker.isEnded()).isTrue();
    }

    @Test
    @DisplayName("Guards against a second run after the agent removed the record of the first and answers not run")
    void trustsNotRunAnswerOnlyUpToTheTrustedAge() {
        AttemptTracker recent = tracker(false);
        AttemptKey key = recent.begin(FIRST, 1, 0);
        assertThat(recent.onEvent(new AttemptEvent.QueryAnswered(key, 1, AttemptState.NOT_RUN), 100))
                .isInstanceOf(AttemptDecision.Retry.class);
        AttemptTracker expired = tracker(false);
        expired.begin(FIRST, 1, 0);
        assertThat(expired.onEvent(new AttemptEvent.QueryAnswered(key, 1, AttemptState.NOT_RUN), 101))
                .isEqualTo(reply(Outcome.UNKNOWN, ReplyReason.LOST));
    }

    @Test
    @DisplayName("Guards against losing the outcome of a non-repeatable call whose caller disconnects")
    void awaitsResultOfNonRepeatableRequestAfterCallerDisconnects() {
        AttemptTracker tracker = tracker(false);
        AttemptKey key = tracker.begin(FIRST, 1, 0);
        assertThat(tracker.onEvent(new AttemptEvent.CallerDisconnected(), 1)).isEqualTo(new AttemptDecision.Await());
        assertThat(tracker.onEvent(new AttemptEvent.NotRun(key, 1, NotRunReason.BUSY, 0), 2))
                .isEqualTo(reply(Outcome.NOT_RUN, ReplyReason.REFUSED));
    }
}
