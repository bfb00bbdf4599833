package io.oleandermoor.state.ledger;

/** What an agent does with a dispatched attempt. */
public sealed interface DispatchDecision {

    /** The attempt is new and takes its place in the queue. */
    record Admit() implements DispatchDecision {}

    /**
     * The attempt is known already; the message is a repeat and starts nothing.
     *
     * @param state the state of the attempt
     */
    record Duplicate(AttemptState state) implements DispatchDecision {}

    /**
     * The attempt did not run and never will. The entry is told so.
     *
     * @param reason why it did not run
     */
    record Refuse(NotRunReason reason) implements DispatchDecision {}

    /**
     * The message is dropped without an answer, because the ledger is full. A refusal would have to be remembered to
     * stay true, so the entry learns nothing and treats the outcome as unknown.
     */
    record Ignore() implements DispatchDecision {}
}
