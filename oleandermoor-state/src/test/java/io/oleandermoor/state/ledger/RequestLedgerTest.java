package io.oleandermoor.state.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.RequestId;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class RequestLedgerTest {

    private static final InstanceId ENTRY = new InstanceId("entry");

    private final RequestLedger ledger = new RequestLedger(new LedgerSettings(4, 2, 10, 25, 100, 1_000, 50));

    private static AttemptKey key(int number) {
        return new AttemptKey(new RequestId(0, number), 1);
    }

    private void dispatchAndStart(int number) {
        assertThat(ledger.dispatch(key(number), true, ENTRY, 0, 0)).isInstanceOf(DispatchDecision.Admit.class);
        assertThat(ledger.tryStart(key(number))).isTrue();
    }

    private boolean append(int number, int offset, String text) {
        return ledger.append(key(number), new TextChunk(offset, 1, text));
    }

    private static AttemptResult result(int end) {
        return new AttemptResult(FinishReason.COMPLETE, 200, List.of(), Body.empty(), end);
    }

    @Test
    @DisplayName("Guards against removing a not-run record before the late dispatch that it must refuse arrives")
    void refusesNeverSeenAttemptUntilRetentionEnds() {
        assertThat(ledger.query(key(1), 0)).isEqualTo(AttemptState.NOT_RUN);
        assertThat(ledger.expire(999)).isEmpty();
        assertThat(ledger.dispatch(key(1), false, ENTRY, 0, 999))
                .isEqualTo(new DispatchDecision.Refuse(NotRunReason.NEVER_SEEN));
        ledger.expire(1_000);
        assertThat(ledger.size()).isZero();
        assertThatThrownBy(() -> new LedgerSettings(4, 2, 10, 25, 1_000, 1_000, 50))
                .hasMessageContaining("retentionMillis");
    }

    @Test
    @DisplayName("Guards against a full ledger that reports not run without recording it, so that a late message runs")
    void reportsUnknownInsteadOfNotRunWhenFull() {
        dispatchAndStart(1);
        dispatchAndStart(2);
        assertThat(ledger.dispatch(key(3), false, ENTRY, 0, 0))
                .isEqualTo(new DispatchDecision.Refuse(NotRunReason.BUSY));
        ledger.query(key(4), 0);
        assertThat(ledger.dispatch(key(5), false, ENTRY, 0, 0)).isEqualTo(new DispatchDecision.Ignore());
        assertThat(ledger.query(key(5), 0)).isEqualTo(AttemptState.UNKNOWN);
        assertThat(ledger.cancel(key(5), 0)).isEqualTo(CancelDecision.NOTHING);
        assertThat(ledger.size()).isEqualTo(4);
    }

    @Test
    @DisplayName("Guards against an attempt reported as not started that runs later or has generated text")
    void neverStartsAttemptMarkedNotStarted() {
        dispatchAndStart(1);
        assertThat(ledger.markNotStarted(key(1), NotRunReason.UPSTREAM_UNREACHABLE, 1))
                .isTrue();
        assertThat(ledger.dispatch(key(1), true, ENTRY, 0, 2))
                .isEqualTo(new DispatchDecision.Refuse(NotRunReason.UPSTREAM_UNREACHABLE));
        assertThat(ledger.tryStart(key(1))).isFalse();
        dispatchAndStart(2);
        append(2, 0, "a");
        assertThat(ledger.markNotStarted(key(2), NotRunReason.MODEL_NOT_READY, 3))
                .isFalse();
        assertThat(ledger.query(key(2), 3)).isEqualTo(AttemptState.RUNNING);
    }

    @Test
    @DisplayName("Guards against unbounded replay buffers, and against a replay with a gap")
    void replaysBufferedChunksWithinTheByteLimits() {
        dispatchAndStart(1);
        assertThat(append(1, 0, "aaaa")).isTrue();
        append(1, 1, "bbbb");
        assertThat(append(1, 1, "bbbb")).as("repeated chunk").isFalse();
        append(1, 2, "cccc");
        assertThat(ledger.attach(key(1), 0, ENTRY, 1))
                .as("first chunk removed from the buffer")
                .isEqualTo(new AttachDecision.Unavailable(AttemptState.RUNNING));
        ledger.finish(key(1), result(3), 2);
        AttachDecision.Replay replay = (AttachDecision.Replay) ledger.attach(key(1), 1, ENTRY, 3);
        assertThat(replay.chunks()).extracting(TextChunk::text).containsExactly("bbbb", "cccc");
        assertThat(replay.result()).contains(result(3));
        for (int number = 2; number <= 4; number++) {
            dispatchAndStart(number);
            append(number, 0, "dddddddddd");
            ledger.finish(key(number), result(1), 4);
        }
        assertThat(ledger.attach(key(1), 1, ENTRY, 5))
                .as("oldest replay removed beyond the total limit")
                .isEqualTo(new AttachDecision.Unavailable(AttemptState.FINISHED));
        assertThat(ledger.attach(key(4), 0, ENTRY, 5)).isInstanceOf(AttachDecision.Replay.class);
    }

    @Test
    @DisplayName("Guards against attempts of a dead entry occupying slots, and against stopping non-repeatable ones")
    void stopsOnlyRepeatableAttemptsOfDisconnectedEntry() {
        dispatchAndStart(1);
        ledger.dispatch(key(2), false, ENTRY, 0, 0);
        ledger.tryStart(key(2));
        ledger.connectionLost(ENTRY, 10);
        assertThat(append(1, 0, "a")).as("chunk for a disconnected entry").isFalse();
        assertThat(ledger.expire(59)).isEmpty();
        assertThat(ledger.expire(60)).containsExactly(key(1));
        assertThat(ledger.cancel(key(1), 61)).isEqualTo(CancelDecision.STOP);
        assertThat(ledger.cancel(key(2), 61)).isEqualTo(CancelDecision.CONTINUE);
        assertThat(ledger.attach(key(1), 0, ENTRY, 62)).isInstanceOf(AttachDecision.Replay.class);
        assertThat(append(1, 1, "b")).isTrue();
    }

    @Test
    @DisplayName("Guards against two threads that start the same attempt, or a thread that starts a cancelled attempt")
    void startsOrCancelsAttemptOnceUnderConcurrency() {
        for (int round = 1; round <= 500; round++) {
            RequestLedger concurrentLedger = new RequestLedger(LedgerSettings.defaults());
            AttemptKey key = key(round);
            concurrentLedger.dispatch(key, false, ENTRY, 0, 0);
            long successes = IntStream.range(0, 4)
                    .parallel()
                    .filter(worker -> worker == 0
                            ? concurrentLedger.cancel(key, 0) == CancelDecision.NOT_RUN
                            : concurrentLedger.tryStart(key))
                    .count();
            assertThat(successes).isEqualTo(1);
        }
    }
}
