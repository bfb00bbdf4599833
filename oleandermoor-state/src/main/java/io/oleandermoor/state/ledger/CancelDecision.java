package io.oleandermoor.state.ledger;

/** What an agent does when an entry cancels an attempt. */
public enum CancelDecision {
    /** The attempt had not started and never will; the entry is told so. */
    NOT_RUN,
    /** The attempt runs and is stopped at the upstream. */
    STOP,
    /** The attempt runs but must not be stopped, because it is not repeatable and its effect would become unknown. */
    CONTINUE,
    /** There is nothing to do. */
    NOTHING
}
