package io.oleandermoor.state.ledger;

/** Result of writing the idempotency record of a non-repeatable call. */
public enum IdempotencyWriteResult {
    /** The write was applied. */
    APPLIED,
    /** The stored record had changed; the write was not applied. */
    CONFLICT,
    /** The response was lost; the write may have been applied or may still be applied later. */
    ANSWER_LOST
}
