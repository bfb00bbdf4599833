package io.oleandermoor.state.residency;

/**
 * Bounds the share of its time that a process spends on planning. Answers large fleets on small machines: the time of a
 * plan grows with models and engines, and what waits for it meanwhile must not grow as well. Not safe for use by
 * several threads.
 */
public final class PlanningThrottle {

    private final double maximumRatio;
    private long nextPlanMillis = Long.MIN_VALUE;

    /**
     * Creates a pace by which a plan is due at once.
     *
     * @param share the largest share of the time, above 0 and up to 1
     */
    public PlanningThrottle(double share) {
        if (!(share > 0 && share <= 1)) {
            throw new IllegalArgumentException("share must be above 0 and up to 1, not " + share);
        }
        this.maximumRatio = share;
    }

    /** Returns whether a plan is due. */
    public boolean isDue(long nowMillis) {
        return nowMillis >= nextPlanMillis;
    }

    /**
     * Notes a plan.
     *
     * @param beganMillis when it began
     * @param endedMillis when it ended
     */
    public void recordPlan(long beganMillis, long endedMillis) {
        long took = Math.max(0, endedMillis - beganMillis);
        nextPlanMillis = beganMillis + (long) Math.ceil(took / maximumRatio);
    }
}
