package io.oleandermoor.state.ledger;

/** What an entry does with a non-repeatable call that carries an idempotency key. */
public sealed interface IdempotencyDecision {

    /**
     * Creates the record, which must not exist.
     *
     * @param record the record
     */
    record Create(IdempotencyRecord record) implements IdempotencyDecision {}

    /**
     * Replaces the record by compare-and-swap.
     *
     * @param record the new record
     * @param version the version that must be current
     */
    record Replace(IdempotencyRecord record, long version) implements IdempotencyDecision {}

    /** Reads the record again, because a write met another one or its answer was lost. */
    record ReadBack() implements IdempotencyDecision {}

    /** Sends the call to an upstream. */
    record Run() implements IdempotencyDecision {}

    /**
     * Answers with the stored answer of the run.
     *
     * @param answer the answer
     */
    record Replay(StoredResponse answer) implements IdempotencyDecision {}

    /** Refuses (409): an earlier call with this key is in progress. */
    record InProgress() implements IdempotencyDecision {}

    /** Refuses (409): it is unknown whether an earlier call with this key ran. */
    record OutcomeUnknown() implements IdempotencyDecision {}

    /** Refuses as not run (503): the key-value service is unavailable. */
    record RefuseNotRun() implements IdempotencyDecision {}

    /** Refuses as not run (422): the key was used with another body. */
    record RefuseOtherBody() implements IdempotencyDecision {}
}
