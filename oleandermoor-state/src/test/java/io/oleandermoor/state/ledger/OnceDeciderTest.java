package io.oleandermoor.state.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class OnceDeciderTest {

    private static final InstanceId ENTRY = new InstanceId("entry");
    private static final UpstreamId UPSTREAM = new UpstreamId("upstream");

    private final OnceDecider decider = new OnceDecider(1_000, 4);
    private final OnceCall call = new OnceCall("body", "mine", ENTRY, UPSTREAM);

    private OnceDecision decide(OnceRecord record, long nowMillis) {
        return decider.afterRead(call, new OnceRead.Present(record, 7), nowMillis);
    }

    private static OnceRecord.Started started(String attempt) {
        return new OnceRecord.Started("body", attempt, ENTRY, UPSTREAM, 0);
    }

    @Test
    @DisplayName("Guards against a repeat that runs again or gets a wrong answer")
    void decidesByTheRecord() {
        StoredAnswer answer = new StoredAnswer(201, List.of(), Body.of(new byte[] {1}), false);
        assertThat(decider.afterRead(call, new OnceRead.Absent(), 0))
                .isEqualTo(new OnceDecision.Create(started("mine")));
        assertThat(decider.afterRead(call, new OnceRead.Unavailable(), 0)).isEqualTo(new OnceDecision.RefuseNotRun());
        assertThat(decide(started("mine"), 0)).isEqualTo(new OnceDecision.Run());
        assertThat(decide(started("other"), 1_000)).isEqualTo(new OnceDecision.InProgress());
        assertThat(decide(started("other"), 1_001)).isEqualTo(new OnceDecision.OutcomeUnknown());
        assertThat(decide(new OnceRecord.Finished("body", "other", answer), 0))
                .isEqualTo(new OnceDecision.Replay(answer));
        assertThat(decide(new OnceRecord.Released("body", "other"), 0))
                .isEqualTo(new OnceDecision.Replace(started("mine"), 7));
        assertThat(decide(new OnceRecord.Finished("another", "other", answer), 0))
                .isEqualTo(new OnceDecision.RefuseOtherBody());
        assertThat(decider.afterWrite(OnceWrite.APPLIED)).isEqualTo(new OnceDecision.Run());
        assertThat(decider.afterWrite(OnceWrite.ANSWER_LOST)).isEqualTo(new OnceDecision.ReadBack());
    }

    @Test
    @DisplayName("Guards against records that another entry cannot read, and against long bodies in the store")
    void writesRecordsAsJson() throws Exception {
        AttemptResult result = new AttemptResult(
                FinishReason.COMPLETE, 200, List.of(new HeaderField("a", "b")), Body.of(new byte[] {1, 2}), 0);
        AttemptResult tooLong = new AttemptResult(FinishReason.COMPLETE, 200, List.of(), Body.of(new byte[5]), 0);
        OnceRecord finished = record(result);
        ObjectMapper mapper = new ObjectMapper();
        for (OnceRecord record : List.of(started("mine"), finished, new OnceRecord.Released("body", "mine"))) {
            assertThat(mapper.readValue(mapper.writeValueAsBytes(record), OnceRecord.class))
                    .isEqualTo(record);
        }
        assertThat(((OnceRecord.Finished) record(tooLong)).answer().bodyOmitted())
                .isTrue();
    }

    private OnceRecord record(AttemptResult result) {
        return decider.afterReply(
                        call,
                        new AttemptDecision.Reply(
                                Outcome.RAN, AttemptDecision.ReplyReason.COMPLETE, Optional.of(result), 0))
                .orElseThrow();
    }
}
