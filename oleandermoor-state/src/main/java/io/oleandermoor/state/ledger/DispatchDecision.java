package io.oleandermoor.state.ledger;

/** Decision on how an agent handles a dispatched attempt. */
public sealed interface DispatchDecision {

    /** The attempt is new and is queued. */
    record Admit() implements DispatchDecision {}

    /**
     * The attempt is already known; the message is a duplicate and starts nothing.
     *
     * @param state the state of the attempt
     */
    record Duplicate(AttemptState state) implements DispatchDecision {}

    /**
     * The attempt did not run and never will. The agent reports this to the entry.
     *
     * @param reason the reason why the attempt does not run
     */
    record Refuse(NotRunReason reason) implements DispatchDecision {}

    /**
     * The message is dropped without a reply, because the ledger is full. A refusal would have to be recorded so that a
     * duplicate of the message does not start the attempt later. The entry receives no reply and treats the outcome as
     * unknown.
     */
    record Ignore() implements DispatchDecision {}
}
