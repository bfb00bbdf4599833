package io.oleandermoor.state.ledger;

import java.util.Optional;

/**
 * Decides what happens to a non-repeatable call with an idempotency key, given its record. The call runs only after the
 * entry's own record is known to be stored, so at most one entry runs it. Immutable.
 */
public final class OnceDecider {

    private final long maximumCallMillis;
    private final int maximumBodyBytes;

    /**
     * Creates a decider.
     *
     * @param maximumCallMillis longest duration of a call, with a margin for clocks, in milliseconds; a record that was
     *     started longer ago has an unknown outcome
     * @param maximumBodyBytes longest body of an answer that is stored
     */
    public OnceDecider(long maximumCallMillis, int maximumBodyBytes) {
        if (maximumCallMillis < 1 || maximumBodyBytes < 0) {
            throw new IllegalArgumentException("maximumCallMillis must be positive and maximumBodyBytes not negative");
        }
        this.maximumCallMillis = maximumCallMillis;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /**
     * Decides after the record was read, at first and after {@link OnceDecision.ReadBack}.
     *
     * @param call the call
     * @param read the result of reading
     * @param nowEpochMillis the time of the wall clock, in milliseconds
     * @return the decision
     */
    public OnceDecision afterRead(OnceCall call, OnceRead read, long nowEpochMillis) {
        if (read instanceof OnceRead.Present present) {
            return afterPresent(call, present, nowEpochMillis);
        }
        // After a lost write the record can be absent and still appear later. A second creation of the same record
        // then conflicts with the first and is resolved by reading back.
        return read instanceof OnceRead.Absent
                ? new OnceDecision.Create(started(call, nowEpochMillis))
                : new OnceDecision.RefuseNotRun();
    }

    /**
     * Decides after the record of the call was written.
     *
     * @param write the result of writing
     * @return the decision
     */
    public OnceDecision afterWrite(OnceWrite write) {
        return write == OnceWrite.APPLIED ? new OnceDecision.Run() : new OnceDecision.ReadBack();
    }

    /**
     * Returns the record to write after the call has ended, by compare-and-swap on the entry's own record.
     *
     * @param call the call
     * @param reply the answer of the tracker
     * @return the record, empty if the outcome is unknown and the record stays as it is
     */
    public Optional<OnceRecord> afterReply(OnceCall call, AttemptDecision.Reply reply) {
        return switch (reply.outcome()) {
            case NOT_RUN -> Optional.of(new OnceRecord.Released(call.bodyHash(), call.attemptId()));
            case RAN ->
                reply.result()
                        .map(result -> new OnceRecord.Finished(
                                call.bodyHash(), call.attemptId(), StoredAnswer.of(result, maximumBodyBytes)));
            case UNKNOWN -> Optional.empty();
        };
    }

    private OnceDecision afterPresent(OnceCall call, OnceRead.Present present, long nowEpochMillis) {
        OnceRecord record = present.record();
        if (!record.bodyHash().equals(call.bodyHash())) {
            return new OnceDecision.RefuseOtherBody();
        }
        if (record instanceof OnceRecord.Finished finished) {
            return new OnceDecision.Replay(finished.answer());
        }
        if (record instanceof OnceRecord.Released) {
            return new OnceDecision.Replace(started(call, nowEpochMillis), present.version());
        }
        if (record.attemptId().equals(call.attemptId())) {
            return new OnceDecision.Run();
        }
        boolean over = record instanceof OnceRecord.Started other
                && nowEpochMillis - other.startedAtEpochMillis() > maximumCallMillis;
        return over ? new OnceDecision.OutcomeUnknown() : new OnceDecision.InProgress();
    }

    private static OnceRecord started(OnceCall call, long nowEpochMillis) {
        return new OnceRecord.Started(call.bodyHash(), call.attemptId(), call.entry(), call.upstream(), nowEpochMillis);
    }
}
