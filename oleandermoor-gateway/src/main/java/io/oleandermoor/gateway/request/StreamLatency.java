package io.oleandermoor.gateway.request;

import io.oleandermoor.state.fleet.HostRoute;

/**
 * Measures the delay of the first event of a stream and the pauses between its events, as the caller sees them: across
 * all instances that served the stream. Used on the event loop only.
 */
final class StreamLatency {

    /** The targets of a route that a stream missed. */
    enum MissedTargets {
        NONE,
        FIRST_EVENT,
        EVENT_INTERVAL,
        BOTH
    }

    private final long arrivedMillis;
    private long lastEventMillis;
    private long firstEventDelayMillis = -1;
    private long longestPauseMillis;

    /**
     * Creates the measurement of a stream without events.
     *
     * @param arrivedMillis the monotonic time at which the request arrived
     */
    StreamLatency(long arrivedMillis) {
        this.arrivedMillis = arrivedMillis;
    }

    /** Records the arrival of one or more complete events. */
    void recordEvents(long nowMillis) {
        if (firstEventDelayMillis < 0) {
            firstEventDelayMillis = nowMillis - arrivedMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventMillis);
        }
        lastEventMillis = nowMillis;
    }

    /** Returns the time from the arrival of the request to the first event, or a negative value if there was none. */
    long firstEventDelayMillis() {
        return firstEventDelayMillis;
    }

    /** Returns the longest time between two consecutive events. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Returns which targets of its route the stream missed. */
    MissedTargets missedTargets(HostRoute route) {
        boolean intervalMissed =
                route.eventIntervalTargetMillis() > 0 && longestPauseMillis > route.eventIntervalTargetMillis();
        boolean firstEventMissed = firstEventDelayMillis > route.latencyTargetMillis();
        if (intervalMissed) {
            return firstEventMissed ? MissedTargets.BOTH : MissedTargets.EVENT_INTERVAL;
        }
        return firstEventMissed ? MissedTargets.FIRST_EVENT : MissedTargets.NONE;
    }
}
