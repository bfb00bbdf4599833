package io.oleandermoor.coordination.membership;

/** Where a process is in its life. */
public enum MemberStatus {
    /** Started, not ready for work yet. */
    STARTING,
    /** Takes work. */
    READY,
    /** Finishes its work and takes no more. */
    LEAVING,
    /** Ended, by its own statement or because it did not answer. */
    GONE;

    /**
     * Returns whether new work may be sent to the process.
     *
     * @return true for {@link #READY}
     */
    public boolean takesWork() {
        return this == READY;
    }
}
