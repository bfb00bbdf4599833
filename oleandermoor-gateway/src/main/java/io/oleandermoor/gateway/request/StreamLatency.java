package io.oleandermoor.gateway.request;

import io.oleandermoor.state.fleet.HostRoute;

/**
 * Measures the delay of the first event of a stream and the pauses between its events, as the caller sees them: across
 * all instances that served the stream. Used on the event loop only.
 */
final class StreamLatency {

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

    /** Returns whether the stream missed the latency target or the event interval target of its route. */
    boolean missesTargets(HostRoute route) {
        boolean eventIntervalMissed =
                route.eventIntervalTargetMillis() > 0 && longestPauseMillis > route.eventIntervalTargetMillis();
        return eventIntervalMissed || firstEventDelayMillis > route.latencyTargetMillis();
    }
}
