package io.oleandermoor.state.routing;

/**
 * Increases the weight of a new copy linearly over time. A new copy has no load and would otherwise attract every
 * request while its caches are still empty.
 *
 * @param durationMillis time until a copy reaches its full weight, in milliseconds
 * @param initialWeight weight of a copy that has just become ready, above 0 and at most 1
 */
public record SlowStart(long durationMillis, double initialWeight) {

    /** Validates the duration and the initial weight. */
    public SlowStart {
        if (durationMillis < 1) {
            throw new IllegalArgumentException("durationMillis must be positive, was " + durationMillis);
        }
        if (!(initialWeight > 0) || initialWeight > 1) {
            throw new IllegalArgumentException("initialWeight must be above 0 and at most 1, was " + initialWeight);
        }
    }

    /**
     * Returns the weight of a copy.
     *
     * @param readySinceMillis time at which the copy became ready, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the factor by which to multiply the capacity of the copy, at most 1
     */
    public double weight(long readySinceMillis, long nowMillis) {
        long age = Math.max(0, nowMillis - readySinceMillis);
        if (age >= durationMillis) {
            return 1;
        }
        return initialWeight + (1 - initialWeight) * age / durationMillis;
    }
}
