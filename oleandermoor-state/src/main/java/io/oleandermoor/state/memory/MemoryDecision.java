package io.oleandermoor.state.memory;

/** Answer of a {@link MemoryAccount} to the wish to load or unload weights. */
public sealed interface MemoryDecision {

    /**
     * The record is to be written first. Only after that write has succeeded, and only while
     * {@link MemoryAccount#isSendAllowed} holds, the order may be sent.
     *
     * @param order the order, already counted by the account
     * @param record the record that includes the order
     */
    record Send(Order order, OrderRecord record) implements MemoryDecision {}

    /**
     * Nothing may be sent now, but an event that is due can change this.
     *
     * @param reason what is waited for
     */
    record Wait(WaitReason reason) implements MemoryDecision {}

    /**
     * Nothing is sent, and waiting alone changes nothing.
     *
     * @param reason why
     */
    record Refuse(RefuseReason reason) implements MemoryDecision {}

    /** What a {@link Wait} is for. */
    enum WaitReason {
        /** The engine's listing has not been received under the own term. */
        NOT_RECONCILED,
        /** Memory whose release is not confirmed, or which an uncertain order may still take. */
        MEMORY_UNCERTAIN,
        /** An earlier order to unload the same weights may still take effect and would remove the new copy. */
        UNLOAD_MAY_TAKE_EFFECT
    }

    /** Why an order is refused. */
    enum RefuseReason {
        /** The weights take more memory than the engine has. */
        TOO_LARGE,
        /** Too much memory is taken by weights that nobody has ordered to unload. */
        NO_MEMORY,
        /** The weights are resident, and no order to unload them may take effect. */
        ALREADY_LOADED,
        /** The weights are not resident and cannot become so. */
        NOT_LOADED
    }
}
