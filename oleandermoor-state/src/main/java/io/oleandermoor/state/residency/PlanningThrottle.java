package io.oleandermoor.state.residency;

/**
 * Limits the fraction of its time that a process spends on planning. The duration of a plan grows with the number of
 * models and engines; on a small machine with a large fleet, planning must not increasingly delay other work. Not
 * thread-safe.
 */
public final class PlanningThrottle {

    private final double maximumRatio;
    private long nextPlanMillis = Long.MIN_VALUE;

    /**
     * Creates a throttle by which the first plan is due immediately.
     *
     * @param maximumRatio the maximum fraction of time spent on planning, above 0 and up to 1
     */
    public PlanningThrottle(double maximumRatio) {
        if (!(maximumRatio > 0 && maximumRatio <= 1)) {
            throw new IllegalArgumentException("maximumRatio must be above 0 and up to 1, not " + maximumRatio);
        }
        this.maximumRatio = maximumRatio;
    }

    /** Returns whether the next plan is due. */
    public boolean isDue(long nowMillis) {
        return nowMillis >= nextPlanMillis;
    }

    /**
     * Records a plan, which determines when the next one is due.
     *
     * @param startMillis the time at which the plan started
     * @param endMillis the time at which the plan ended
     */
    public void recordPlan(long startMillis, long endMillis) {
        long durationMillis = Math.max(0, endMillis - startMillis);
        nextPlanMillis = startMillis + (long) Math.ceil(durationMillis / maximumRatio);
    }
}
