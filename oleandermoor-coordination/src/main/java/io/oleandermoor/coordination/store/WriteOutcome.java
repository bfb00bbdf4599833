package io.oleandermoor.coordination.store;

/**
 * What became of a conditional write.
 *
 * @param effect whether the write took effect
 * @param revision the revision of the write if it took effect, otherwise the service's revision
 */
public record WriteOutcome(Effect effect, long revision) {

    /** Whether a write took effect. */
    public enum Effect {
        /** The write took effect. */
        APPLIED,
        /** The write did not take effect and never will. */
        REFUSED,
        /**
         * An answer was lost and the key has since been changed by another writer or deleted. The write may have been
         * in effect for a while; it is no longer.
         */
        SUPERSEDED
    }

    /**
     * Returns whether the write took effect and was not yet superseded when this was found out.
     *
     * @return true for {@link Effect#APPLIED}
     */
    public boolean applied() {
        return effect == Effect.APPLIED;
    }
}
