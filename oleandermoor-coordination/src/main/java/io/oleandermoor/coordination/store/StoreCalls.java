package io.oleandermoor.coordination.store;

/**
 * Number of calls that a store has answered.
 *
 * @param reads reads, lists and started watches
 * @param writes conditional writes and deletions, applied or not
 * @param leaseCalls grants, renewals and revocations of leases
 * @param waitingWatches watches that are open now
 */
public record StoreCalls(long reads, long writes, long leaseCalls, int waitingWatches) {

    /**
     * Returns the sum of all calls.
     *
     * @return reads, writes and lease calls, without waiting watches
     */
    public long total() {
        return reads + writes + leaseCalls;
    }
}
