package io.oleandermoor.state.ledger;

/** Decision on how an agent handles the cancellation of an attempt. */
public enum CancelDecision {
    /** The attempt has not started and never will. The agent reports this to the entry. */
    NOT_RUN,
    /** The attempt is running and is stopped at the upstream. */
    STOP,
    /** The attempt is running but not repeatable. It continues, because stopping it would make its outcome unknown. */
    CONTINUE,
    /** No action is required. */
    NOTHING
}
