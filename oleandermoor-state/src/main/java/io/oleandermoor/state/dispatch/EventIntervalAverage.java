package io.oleandermoor.state.dispatch;

/**
 * An exponentially weighted average of the time between two events of a stream. Comparing the average of an instance
 * with the baseline of its service detects instances that become slow without failing. Not thread-safe.
 */
final class EventIntervalAverage {

    /** Number of events before the average is used: a single paused stream does not mean a slow instance. */
    private static final int MINIMUM_EVENTS = 20;
    /** Upper limit of a counted interval, relative to the baseline; limits the effect of single pauses. */
    private static final double MAXIMUM_INTERVAL_RATIO = 8;
    /**
     * Time in which an average without new events moves halfway back to the baseline, so that the instance is used
     * again.
     */
    private static final double DECAY_HALF_LIFE_MILLIS = 3_000;

    private final double weight;
    private double intervalMillis;
    private long eventCount;
    private long lastEventMillis;

    /**
     * Creates an average without events.
     *
     * @param weight the weight of the latest interval, from 0 to 1
     */
    EventIntervalAverage(double weight) {
        this.weight = weight;
    }

    /** Records an event and the interval since the previous event; a baseline of 0 is unknown. */
    void record(double interval, double baselineMillis, long nowMillis) {
        double limited = baselineMillis > 0 ? Math.min(interval, MAXIMUM_INTERVAL_RATIO * baselineMillis) : interval;
        intervalMillis = eventCount == 0 ? limited : intervalMillis + weight * (limited - intervalMillis);
        eventCount++;
        lastEventMillis = nowMillis;
    }

    /** Returns the average interval, or 0 while there are too few events. */
    double intervalMillis() {
        return eventCount < MINIMUM_EVENTS ? 0 : intervalMillis;
    }

    /** Returns the ratio of the average interval to the baseline, at least 1; 1 while either is unknown. */
    double slowdownRatio(double baselineMillis, long nowMillis) {
        if (baselineMillis <= 0 || intervalMillis() <= baselineMillis) {
            return 1;
        }
        double ageMillis = Math.max(0, nowMillis - lastEventMillis);
        return 1 + (intervalMillis / baselineMillis - 1) * Math.pow(0.5, ageMillis / DECAY_HALF_LIFE_MILLIS);
    }
}
