package io.oleandermoor.state.ledger;

/** Decision on how an entry handles a non-repeatable call with an idempotency key. */
public sealed interface IdempotencyDecision {

    /**
     * Creates the record on condition that none exists.
     *
     * @param record the record to create
     */
    record Create(IdempotencyRecord record) implements IdempotencyDecision {}

    /**
     * Replaces the record by compare-and-swap.
     *
     * @param record the new record
     * @param version the expected version of the stored record
     */
    record Replace(IdempotencyRecord record, long version) implements IdempotencyDecision {}

    /** Reads the record again, because a write conflicted with another one or its response was lost. */
    record ReadBack() implements IdempotencyDecision {}

    /** Sends the call to an upstream. */
    record Run() implements IdempotencyDecision {}

    /**
     * Answers with the stored response of an earlier run.
     *
     * @param answer the stored response
     */
    record Replay(StoredResponse answer) implements IdempotencyDecision {}

    /** Refuses the call (409): an earlier call with this key is in progress. */
    record InProgress() implements IdempotencyDecision {}

    /** Refuses the call (409): it is unknown whether an earlier call with this key ran. */
    record OutcomeUnknown() implements IdempotencyDecision {}

    /** Refuses the call as not run (503): the key-value service is unavailable. */
    record RefuseNotRun() implements IdempotencyDecision {}

    /** Refuses the call as not run (422): the key was already used with a different body. */
    record RefuseOtherBody() implements IdempotencyDecision {}
}
