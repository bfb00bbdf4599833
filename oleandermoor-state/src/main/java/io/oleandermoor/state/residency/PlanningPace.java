package io.oleandermoor.state.residency;

/**
 * Bounds the share of its time that a process spends on planning. Answers large fleets on small machines: the time of a
 * plan grows with models and engines, and what waits for it meanwhile must not grow as well. Not safe for use by
 * several threads.
 */
public final class PlanningPace {

    private final double share;
    private long dueMillis = Long.MIN_VALUE;

    /**
     * Creates a pace by which a plan is due at once.
     *
     * @param share the largest share of the time, above 0 and up to 1
     */
    public PlanningPace(double share) {
        if (!(share > 0 && share <= 1)) {
            throw new IllegalArgumentException("share must be above 0 and up to 1, not " + share);
        }
        this.share = share;
    }

    /** Returns whether a plan is due. */
    public boolean due(long nowMillis) {
        return nowMillis >= dueMillis;
    }

    /**
     * Notes a plan.
     *
     * @param beganMillis when it began
     * @param endedMillis when it ended
     */
    public void planned(long beganMillis, long endedMillis) {
        long took = Math.max(0, endedMillis - beganMillis);
        dueMillis = beganMillis + (long) Math.ceil(took / share);
    }
}
