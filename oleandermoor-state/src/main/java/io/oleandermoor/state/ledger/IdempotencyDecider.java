package io.oleandermoor.state.ledger;

import java.util.Optional;

/**
 * Decides what happens to a non-repeatable call with an idempotency key, given its record. The call runs only after the
 * entry's own record is known to be stored, so at most one entry runs it. Immutable.
 */
public final class IdempotencyDecider {

    private final long maximumCallMillis;
    private final int maximumBodyBytes;

    /**
     * Creates a decider.
     *
     * @param maximumCallMillis longest duration of a call, with a margin for clocks, in milliseconds; a record that was
     *     started longer ago has an unknown outcome
     * @param maximumBodyBytes longest body of an answer that is stored
     */
    public IdempotencyDecider(long maximumCallMillis, int maximumBodyBytes) {
        if (maximumCallMillis < 1 || maximumBodyBytes < 0) {
            throw new IllegalArgumentException("maximumCallMillis must be positive and maximumBodyBytes not negative");
        }
        this.maximumCallMillis = maximumCallMillis;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /**
     * Decides after the record was read, at first and after {@link IdempotencyDecision.ReadBack}.
     *
     * @param call the call
     * @param read the result of reading
     * @param nowEpochMillis the time of the wall clock, in milliseconds
     * @return the decision
     */
    public IdempotencyDecision afterRead(KeyedCall call, IdempotencyReadResult read, long nowEpochMillis) {
        if (read instanceof IdempotencyReadResult.Present present) {
            return afterPresent(call, present, nowEpochMillis);
        }
        // After a lost write the record can be absent and still appear later. A second creation of the same record
        // then conflicts with the first and is resolved by reading back.
        return read instanceof IdempotencyReadResult.Absent
                ? new IdempotencyDecision.Create(started(call, nowEpochMillis))
                : new IdempotencyDecision.RefuseNotRun();
    }

    /**
     * Decides after the record of the call was written.
     *
     * @param write the result of writing
     * @return the decision
     */
    public IdempotencyDecision afterWrite(IdempotencyWriteResult write) {
        return write == IdempotencyWriteResult.APPLIED
                ? new IdempotencyDecision.Run()
                : new IdempotencyDecision.ReadBack();
    }

    /**
     * Returns the record to write after the call has ended, by compare-and-swap on the entry's own record.
     *
     * @param call the call
     * @param reply the answer of the tracker
     * @return the record, empty if the outcome is unknown and the record stays as it is
     */
    public Optional<IdempotencyRecord> afterReply(KeyedCall call, AttemptDecision.Reply reply) {
        return switch (reply.outcome()) {
            case NOT_RUN -> Optional.of(new IdempotencyRecord.Released(call.bodyHash(), call.attemptId()));
            case RAN ->
                reply.result()
                        .map(result -> new IdempotencyRecord.Finished(
                                call.bodyHash(), call.attemptId(), StoredResponse.of(result, maximumBodyBytes)));
            case UNKNOWN -> Optional.empty();
        };
    }

    private IdempotencyDecision afterPresent(
            KeyedCall call, IdempotencyReadResult.Present present, long nowEpochMillis) {
        IdempotencyRecord record = present.record();
        if (!record.bodyHash().equals(call.bodyHash())) {
            return new IdempotencyDecision.RefuseOtherBody();
        }
        if (record instanceof IdempotencyRecord.Finished finished) {
            return new IdempotencyDecision.Replay(finished.answer());
        }
        if (record instanceof IdempotencyRecord.Released) {
            return new IdempotencyDecision.Replace(started(call, nowEpochMillis), present.version());
        }
        if (record.attemptId().equals(call.attemptId())) {
            return new IdempotencyDecision.Run();
        }
        boolean over = record instanceof IdempotencyRecord.Started other
                && nowEpochMillis - other.startedAtEpochMillis() > maximumCallMillis;
        return over ? new IdempotencyDecision.OutcomeUnknown() : new IdempotencyDecision.InProgress();
    }

    private static IdempotencyRecord started(KeyedCall call, long nowEpochMillis) {
        return new IdempotencyRecord.Started(
                call.bodyHash(), call.attemptId(), call.entry(), call.upstream(), nowEpochMillis);
    }
}
