package io.oleandermoor.state.routing;

/**
 * Raises the share of a fresh copy step by step. A fresh copy has no load and would otherwise attract every request
 * while its caches are empty.
 *
 * @param durationMillis time after which a copy gets its full share, in milliseconds
 * @param initialWeight share of a copy that has just become ready, above 0 and at most 1
 */
public record SlowStart(long durationMillis, double initialWeight) {

    /** Checks the numbers. */
    public SlowStart {
        if (durationMillis < 1) {
            throw new IllegalArgumentException("durationMillis must be positive, was " + durationMillis);
        }
        if (!(initialWeight > 0) || initialWeight > 1) {
            throw new IllegalArgumentException("initialWeight must be above 0 and at most 1, was " + initialWeight);
        }
    }

    /**
     * Returns the share of a copy.
     *
     * @param readySinceMillis time at which the copy became ready, in milliseconds
     * @param nowMillis the time in milliseconds
     * @return a factor for the capacity of the copy, at most 1
     */
    public double weight(long readySinceMillis, long nowMillis) {
        long age = Math.max(0, nowMillis - readySinceMillis);
        if (age >= durationMillis) {
            return 1;
        }
        return initialWeight + (1 - initialWeight) * age / durationMillis;
    }
}
