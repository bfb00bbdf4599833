package io.oleandermoor.state.ledger;

/** Result of reading the record of a non-repeatable call. */
public sealed interface IdempotencyReadResult {

    /** There is no record. */
    record Absent() implements IdempotencyReadResult {}

    /**
     * There is a record.
     *
     * @param record the record
     * @param version the version in the key-value service, for the next compare-and-swap
     */
    record Present(IdempotencyRecord record, long version) implements IdempotencyReadResult {}

    /** The key-value service did not answer. */
    record Unavailable() implements IdempotencyReadResult {}
}
