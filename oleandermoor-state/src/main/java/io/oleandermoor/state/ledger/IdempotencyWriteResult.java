package io.oleandermoor.state.ledger;

/** Result of writing the record of a non-repeatable call. */
public enum IdempotencyWriteResult {
    /** The write took effect. */
    APPLIED,
    /** The record had changed; the write took no effect. */
    CONFLICT,
    /** The answer was lost; the write may have taken effect or may still do so. */
    ANSWER_LOST
}
