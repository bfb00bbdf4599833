package io.oleandermoor.coordination.lease;

/**
 * One term of owning a name. It is valid by the owner's own monotonic clock, counted from the time when the last
 * successful renewal was sent, so that a paused process finds itself no longer owner at its first check. A term that
 * has ended never becomes valid again. Thread-safe.
 */
public final class Ownership {

    private final String name;
    private final FencingNumber fencing;
    private final LeaseValidity lease;
    private volatile boolean ended;

    Ownership(String name, FencingNumber fencing, LeaseValidity lease) {
        this.name = name;
        this.fencing = fencing;
        this.lease = lease;
    }

    /**
     * Returns the owned name.
     *
     * @return the key at the service, such as {@code owner/placement}
     */
    public String name() {
        return name;
    }

    /**
     * Returns the fencing number of this term.
     *
     * @return the number, larger than that of every earlier owner of the name
     */
    public FencingNumber fencing() {
        return fencing;
    }

    /**
     * Returns whether this process is the owner.
     *
     * @param nowMillis the present by the clock given to the lease keeper, read after all waiting
     * @return true while no other process can be the owner
     */
    public boolean isOwner(long nowMillis) {
        return !ended && lease.isValid(nowMillis);
    }

    /**
     * Returns until when the present validity lasts without a renewal.
     *
     * @return a time of the clock given to the lease keeper, in milliseconds; in the past once the term has ended
     */
    public long validUntilMillis() {
        return ended ? Long.MIN_VALUE : lease.validUntilMillis();
    }

    LeaseValidity lease() {
        return lease;
    }

    void end() {
        ended = true;
    }
}
