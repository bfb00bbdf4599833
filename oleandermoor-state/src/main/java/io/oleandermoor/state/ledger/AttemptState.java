package io.oleandermoor.state.ledger;

/** State of an attempt at its agent. */
public enum AttemptState {
    /** The attempt waits for a slot. */
    WAITING,
    /** The attempt was sent to the upstream. */
    RUNNING,
    /** The upstream answered, or its stream ended. */
    FINISHED,
    /** The attempt did not run and never will. */
    NOT_RUN,
    /** The attempt may have run. */
    UNKNOWN;

    boolean isFinal() {
        return this != WAITING && this != RUNNING;
    }
}
