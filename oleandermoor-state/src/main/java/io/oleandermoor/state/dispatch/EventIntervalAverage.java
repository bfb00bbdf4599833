package io.oleandermoor.state.dispatch;

/**
 * The smoothed time between two events of a stream. Answers instances that turn slow without failing: they are told by
 * their own pace against the one that is usual for their service. Not safe for use by several threads.
 */
final class EventIntervalAverage {

    /** Events before the pace of an instance tells anything: one paused stream is not a slow instance. */
    private static final int MINIMUM_EVENTS = 20;
    /** Largest gap that is counted, relative to the usual one, so that single pauses weigh little. */
    private static final double MAXIMUM_INTERVAL_RATIO = 8;
    /**
     * Time in which a pace without new events goes halfway back to the usual one, so that the instance is tried again.
     */
    private static final double DECAY_HALF_LIFE_MILLIS = 3_000;

    private final double weight;
    private double intervalMillis;
    private long eventCount;
    private long lastEventMillis;

    /**
     * Creates a pace without events.
     *
     * @param weight the weight of the newest gap, from 0 to 1
     */
    EventIntervalAverage(double weight) {
        this.weight = weight;
    }

    /** Counts the time since the event before it; the usual gap is 0 while it is unknown. */
    void record(double gap, double usualMillis, long nowMillis) {
        double counted = usualMillis > 0 ? Math.min(gap, MAXIMUM_INTERVAL_RATIO * usualMillis) : gap;
        intervalMillis = eventCount == 0 ? counted : intervalMillis + weight * (counted - intervalMillis);
        eventCount++;
        lastEventMillis = nowMillis;
    }

    /** Returns the smoothed gap, or 0 while there are too few events. */
    double intervalMillis() {
        return eventCount < MINIMUM_EVENTS ? 0 : intervalMillis;
    }

    /** Returns how many times as long the gaps are as the usual ones, at least 1; 1 while either is unknown. */
    double slowdownRatio(double usualMillis, long nowMillis) {
        if (usualMillis <= 0 || intervalMillis() <= usualMillis) {
            return 1;
        }
        double age = Math.max(0, nowMillis - lastEventMillis);
        return 1 + (intervalMillis / usualMillis - 1) * Math.pow(0.5, age / DECAY_HALF_LIFE_MILLIS);
    }
}
