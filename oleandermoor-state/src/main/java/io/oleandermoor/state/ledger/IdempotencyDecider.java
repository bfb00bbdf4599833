package io.oleandermoor.state.ledger;

import java.util.Optional;

/**
 * Decides how an entry handles a non-repeatable call with an idempotency key, based on the stored record of the call.
 * The call runs only after the entry has confirmed that its own record is stored, so at most one entry runs it.
 * Immutable.
 */
public final class IdempotencyDecider {

    private final long maximumCallMillis;
    private final int maximumBodyBytes;

    /**
     * Creates a decider.
     *
     * @param maximumCallMillis the maximum duration of a call including a margin for clock skew, in milliseconds; the
     *     outcome of a started record that is older is unknown
     * @param maximumBodyBytes the maximum size of a response body that is stored, in bytes
     */
    public IdempotencyDecider(long maximumCallMillis, int maximumBodyBytes) {
        if (maximumCallMillis < 1 || maximumBodyBytes < 0) {
            throw new IllegalArgumentException(
                    "maximumCallMillis must be positive and maximumBodyBytes must not be negative");
        }
        this.maximumCallMillis = maximumCallMillis;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /**
     * Decides after the record was read, either for the first time or after {@link IdempotencyDecision.ReadBack}.
     *
     * @param call the call to handle
     * @param read the result of the read
     * @param nowEpochMillis the current wall-clock time, in milliseconds
     * @return the decision
     */
    public IdempotencyDecision afterRead(KeyedCall call, IdempotencyReadResult read, long nowEpochMillis) {
        if (read instanceof IdempotencyReadResult.Present present) {
            return afterPresent(call, present, nowEpochMillis);
        }
        // A write whose response was lost may still be applied later, although the record is absent now. Creating the
        // record again then conflicts with that write, and reading the record back resolves the conflict.
        return read instanceof IdempotencyReadResult.Absent
                ? new IdempotencyDecision.Create(started(call, nowEpochMillis))
                : new IdempotencyDecision.RefuseNotRun();
    }

    /**
     * Decides after the record of the call was written.
     *
     * @param write the result of the write
     * @return the decision
     */
    public IdempotencyDecision afterWrite(IdempotencyWriteResult write) {
        return write == IdempotencyWriteResult.APPLIED
                ? new IdempotencyDecision.Run()
                : new IdempotencyDecision.ReadBack();
    }

    /**
     * Returns the record that replaces the entry's own record by compare-and-swap after the call has ended.
     *
     * @param call the call to handle
     * @param reply the reply that the tracker decided on
     * @return the new record, or empty if the outcome is unknown and the stored record stays unchanged
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
        boolean expired = record instanceof IdempotencyRecord.Started other
                && nowEpochMillis - other.startedAtEpochMillis() > maximumCallMillis;
        return expired ? new IdempotencyDecision.OutcomeUnknown() : new IdempotencyDecision.InProgress();
    }

    private static IdempotencyRecord started(KeyedCall call, long nowEpochMillis) {
        return new IdempotencyRecord.Started(
                call.bodyHash(), call.attemptId(), call.entry(), call.upstream(), nowEpochMillis);
    }
}
