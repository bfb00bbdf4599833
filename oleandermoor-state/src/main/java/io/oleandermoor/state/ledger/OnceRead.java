package io.oleandermoor.state.ledger;

/** Result of reading the record of a non-repeatable call. */
public sealed interface OnceRead {

    /** There is no record. */
    record Absent() implements OnceRead {}

    /**
     * There is a record.
     *
     * @param record the record
     * @param version the version in the key-value service, for the next compare-and-swap
     */
    record Present(OnceRecord record, long version) implements OnceRead {}

    /** The key-value service did not answer. */
    record Unavailable() implements OnceRead {}
}
