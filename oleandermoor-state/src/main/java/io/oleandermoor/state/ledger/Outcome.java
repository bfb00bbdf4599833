package io.oleandermoor.state.ledger;

/** What is known about whether a request ran. */
public enum Outcome {
    /** No attempt ran, and none can run any more. */
    NOT_RUN,
    /** The request ran. */
    RAN,
    /** The request may have run. */
    UNKNOWN
}
