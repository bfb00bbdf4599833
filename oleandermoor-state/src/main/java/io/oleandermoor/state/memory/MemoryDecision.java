package io.oleandermoor.state.memory;

/** Decision of a {@link MemoryAccount} on a request to load or unload weights. */
public sealed interface MemoryDecision {

    /**
     * An order to send. The record must be written first. The order may be sent only after that write has succeeded and
     * while {@link MemoryAccount#isSendAllowed} returns true.
     *
     * @param order the order, which the account already counts
     * @param record the record that includes the order
     */
    record Send(Order order, OrderRecord record) implements MemoryDecision {}

    /**
     * No order may be sent now, but an expected event can change this.
     *
     * @param reason the event to wait for
     */
    record Wait(WaitReason reason) implements MemoryDecision {}

    /**
     * No order may be sent, and waiting alone does not change this.
     *
     * @param reason the reason for the refusal
     */
    record Refuse(RefuseReason reason) implements MemoryDecision {}

    /** Reasons for a {@link Wait}. */
    enum WaitReason {
        /** No listing of the engine has been received in the current term. */
        NOT_RECONCILED,
        /** Some memory may be in use: its release is not confirmed, or an order may still take effect. */
        MEMORY_UNCERTAIN,
        /**
         * An earlier order to unload the same weights may still take effect and would remove the newly loaded weights.
         */
        UNLOAD_MAY_TAKE_EFFECT
    }

    /** Reasons for a {@link Refuse}. */
    enum RefuseReason {
        /** The weights require more memory than the capacity of the engine. */
        TOO_LARGE,
        /** Too little memory is free, and no order to unload resident weights has been given. */
        NO_MEMORY,
        /** The weights are resident, and no order to unload them can take effect. */
        ALREADY_LOADED,
        /** The weights are not resident, and no order to load them can take effect. */
        NOT_LOADED
    }
}
