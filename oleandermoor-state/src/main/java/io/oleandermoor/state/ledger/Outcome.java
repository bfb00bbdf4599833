package io.oleandermoor.state.ledger;

/** Outcome of a request: whether the request ran, as far as known. */
public enum Outcome {
    /** No attempt ran, and none can run later. */
    NOT_RUN,
    /** The request ran. */
    RAN,
    /** It is unknown whether the request ran. */
    UNKNOWN
}
