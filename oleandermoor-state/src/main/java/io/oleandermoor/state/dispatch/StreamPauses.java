package io.oleandermoor.state.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects from the streams that an entry receives from an engine whether the engine processes a prompt now. An engine
 * produces a token of every stream in each step and processes prompts between the tokens, so all its streams pause
 * together, also for prompts that other entries sent. Not thread-safe.
 */
final class StreamPauses {

    /** Ratio of a stream's current interval to the usual one above which the engine counts as processing a prompt. */
    private static final double PAUSE_RATIO = 1.15;
    /** Weight of an interval that is shorter than the usual one. */
    private static final double SHORTER_INTERVAL_WEIGHT = 0.2;
    /** Weight of a longer interval; low, so that the usual interval is that between prompts. */
    private static final double LONGER_INTERVAL_WEIGHT = 0.02;
    /** Upper limit of a counted interval, relative to the usual one. */
    private static final double MAXIMUM_INTERVAL_RATIO = 4;

    private final Map<Long, LastEvent> lastEvents = new HashMap<>();
    private double usualIntervalMillis;

    private record LastEvent(long millis, long intervalTargetMillis) {}

    /** Records an event of a stream, whose next event is in time within the interval target. */
    void recordEvent(long stream, long intervalTargetMillis, long nowMillis) {
        LastEvent previous = lastEvents.put(stream, new LastEvent(nowMillis, intervalTargetMillis));
        if (previous != null) {
            recordInterval(nowMillis - previous.millis());
        }
    }

    private void recordInterval(double intervalMillis) {
        if (usualIntervalMillis == 0) {
            usualIntervalMillis = intervalMillis;
            return;
        }
        double weight = intervalMillis < usualIntervalMillis ? SHORTER_INTERVAL_WEIGHT : LONGER_INTERVAL_WEIGHT;
        double limitedMillis = Math.min(intervalMillis, MAXIMUM_INTERVAL_RATIO * usualIntervalMillis);
        usualIntervalMillis += weight * (limitedMillis - usualIntervalMillis);
    }

    /** Removes a stream that has ended or is not read. */
    void remove(long stream) {
        lastEvents.remove(stream);
    }

    /**
     * Returns whether a stream pauses now. A stream that has already missed its interval target does not count, because
     * it may have stalled alone.
     */
    boolean isAnyPausing(long nowMillis) {
        for (LastEvent event : lastEvents.values()) {
            long ageMillis = nowMillis - event.millis();
            if (ageMillis > PAUSE_RATIO * usualIntervalMillis && ageMillis <= event.intervalTargetMillis()) {
                return true;
            }
        }
        return false;
    }
}
