package io.oleandermoor.state.ledger;

/** Result of reading the idempotency record of a non-repeatable call. */
public sealed interface IdempotencyReadResult {

    /** No record is stored. */
    record Absent() implements IdempotencyReadResult {}

    /**
     * A record is stored.
     *
     * @param record the stored record
     * @param version the version in the key-value service, for the next compare-and-swap
     */
    record Present(IdempotencyRecord record, long version) implements IdempotencyReadResult {}

    /** The key-value service did not respond. */
    record Unavailable() implements IdempotencyReadResult {}
}
