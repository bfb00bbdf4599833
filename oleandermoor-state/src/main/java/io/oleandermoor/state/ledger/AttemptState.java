package io.oleandermoor.state.ledger;

/** State of an attempt at its agent. */
public enum AttemptState {
    /** The attempt is waiting for a slot. */
    WAITING,
    /** The attempt was sent to the upstream. */
    RUNNING,
    /** The upstream has responded, or its stream has ended. */
    FINISHED,
    /** The attempt did not run and never will. */
    NOT_RUN,
    /** It is unknown whether the attempt ran. */
    UNKNOWN;

    boolean isFinal() {
        return this != WAITING && this != RUNNING;
    }
}
