package io.oleandermoor.state.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class IdempotencyDeciderTest {

    private static final InstanceId ENTRY = new InstanceId("entry");
    private static final UpstreamId UPSTREAM = new UpstreamId("upstream");

    private final IdempotencyDecider decider = new IdempotencyDecider(1_000, 4);
    private final KeyedCall call = new KeyedCall("body", "mine", ENTRY, UPSTREAM);

    private IdempotencyDecision decide(IdempotencyRecord record, long nowMillis) {
        return decider.afterRead(call, new IdempotencyReadResult.Present(record, 7), nowMillis);
    }

    private static IdempotencyRecord.Started started(String attempt) {
        return new IdempotencyRecord.Started("body", attempt, ENTRY, UPSTREAM, 0);
    }

    @Test
    @DisplayName("Guards against a repeated call that runs again or gets a wrong response")
    void runsCallAtMostOnceAndReplaysStoredResponse() {
        StoredResponse answer = new StoredResponse(201, List.of(), Body.of(new byte[] {1}), false);
        assertThat(decider.afterRead(call, new IdempotencyReadResult.Absent(), 0))
                .isEqualTo(new IdempotencyDecision.Create(started("mine")));
        assertThat(decider.afterRead(call, new IdempotencyReadResult.Unavailable(), 0))
                .isEqualTo(new IdempotencyDecision.RefuseNotRun());
        assertThat(decide(started("mine"), 0)).isEqualTo(new IdempotencyDecision.Run());
        assertThat(decide(started("other"), 1_000)).isEqualTo(new IdempotencyDecision.InProgress());
        assertThat(decide(started("other"), 1_001)).isEqualTo(new IdempotencyDecision.OutcomeUnknown());
        assertThat(decide(new IdempotencyRecord.Finished("body", "other", answer), 0))
                .isEqualTo(new IdempotencyDecision.Replay(answer));
        assertThat(decide(new IdempotencyRecord.Released("body", "other"), 0))
                .isEqualTo(new IdempotencyDecision.Replace(started("mine"), 7));
        assertThat(decide(new IdempotencyRecord.Finished("another", "other", answer), 0))
                .isEqualTo(new IdempotencyDecision.RefuseOtherBody());
        assertThat(decider.afterWrite(IdempotencyWriteResult.APPLIED)).isEqualTo(new IdempotencyDecision.Run());
        assertThat(decider.afterWrite(IdempotencyWriteResult.ANSWER_LOST))
                .isEqualTo(new IdempotencyDecision.ReadBack());
    }

    @Test
    @DisplayName("Guards against records that another entry cannot read, and against stored bodies that are too long")
    void recordsSurviveJsonRoundTripAndOmitLongBodies() throws Exception {
        AttemptResult result = new AttemptResult(
                FinishReason.COMPLETE, 200, List.of(new HeaderField("a", "b")), Body.of(new byte[] {1, 2}), 0);
        AttemptResult tooLong = new AttemptResult(FinishReason.COMPLETE, 200, List.of(), Body.of(new byte[5]), 0);
        IdempotencyRecord finished = record(result);
        ObjectMapper mapper = new ObjectMapper();
        for (IdempotencyRecord record :
                List.of(started("mine"), finished, new IdempotencyRecord.Released("body", "mine"))) {
            assertThat(mapper.readValue(mapper.writeValueAsBytes(record), IdempotencyRecord.class))
                    .isEqualTo(record);
        }
        assertThat(((IdempotencyRecord.Finished) record(tooLong)).answer().bodyOmitted())
                .isTrue();
    }

    private IdempotencyRecord record(AttemptResult result) {
        return decider.afterReply(
                        call,
                        new AttemptDecision.Reply(
                                Outcome.RAN, AttemptDecision.ReplyReason.COMPLETE, Optional.of(result), 0))
                .orElseThrow();
    }
}
