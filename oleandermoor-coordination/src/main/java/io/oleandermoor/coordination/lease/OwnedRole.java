package io.oleandermoor.coordination.lease;

/**
 * A role that runs while its name is owned. The calls for one name never overlap and alternate, beginning with
 * {@link #started}. They run on the lease keeper's scheduler and must not block.
 */
public interface OwnedRole {

    /**
     * Called when the name was taken. The role asks {@link Ownership#isOwner} before each act of its own.
     *
     * @param ownership the ownership, valid until it has ended
     */
    void started(Ownership ownership);

    /**
     * Called when the ownership has ended or is about to be handed over. A paused process may be called long after the
     * end.
     *
     * @param ownership the ownership that ended
     */
    void ended(Ownership ownership);
}
