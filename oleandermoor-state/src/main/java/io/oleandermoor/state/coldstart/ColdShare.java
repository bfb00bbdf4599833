package io.oleandermoor.state.coldstart;

/**
 * The share of one entry in the rate that a cold instance tolerates. Entries do not coordinate, so the share must keep
 * the bound when a burst reaches all of them at once after a time without requests.
 *
 * @param intervalMillis the minimum time between two sends of the entry
 * @param maximumPerWindow the maximum number of sends of the entry in {@link #WINDOW_MILLIS}
 * @param slotted whether the entry may send only in a time slot at the start of each interval
 */
record ColdShare(long intervalMillis, int maximumPerWindow, boolean slotted) {

    /** The span of one second to which the bound applies, plus the jitter between a send and its arrival. */
    static final long WINDOW_MILLIS = 1_100;
    /**
     * Length of a time slot. The slots of more entries overlap the longer they are, so the rate has to be lower; too
     * short a slot often ends before a request arrives.
     */
    static final long SLOT_MILLIS = 200;
    /** Fraction of the bound that the entries use when they all send at once; the rest covers races. */
    private static final double USABLE_BOUND_RATIO = 0.85;
    /** The time within which all entries that watch the store learn of a cold instance. */
    private static final long DETECTION_SPREAD_MILLIS = 300;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the share of an entry. A share that is not used can be used later as long as all entries together may
     * send at once without exceeding the bound. With more entries, shares are bound to time slots and expire.
     *
     * @param requestsPerSecond the rate that the instance tolerates
     * @param entries the number of entries
     * @param bounds the bound on the requests in one second
     */
    static ColdShare of(double requestsPerSecond, int entries, ColdStartBounds bounds) {
        double usable = USABLE_BOUND_RATIO * bounds.maximumRequests(requestsPerSecond);
        int perWindow = (int) Math.min(Integer.MAX_VALUE, usable / entries);
        if (perWindow >= 1) {
            long equalShareMillis = intervalMillis(entries, requestsPerSecond);
            return new ColdShare(Math.max(equalShareMillis, WINDOW_MILLIS / perWindow), perWindow, false);
        }
        // The slots that overlap a span of one second begin within this time.
        double overlapSeconds = (MILLIS_PER_SECOND + SLOT_MILLIS + DETECTION_SPREAD_MILLIS) / MILLIS_PER_SECOND;
        long intervalMillis = intervalMillis(entries, Math.min(requestsPerSecond, usable / overlapSeconds));
        return new ColdShare(Math.max(WINDOW_MILLIS, intervalMillis), 1, true);
    }

    private static long intervalMillis(int entries, double requestsPerSecond) {
        return (long) Math.ceil(MILLIS_PER_SECOND * entries / requestsPerSecond);
    }
}
