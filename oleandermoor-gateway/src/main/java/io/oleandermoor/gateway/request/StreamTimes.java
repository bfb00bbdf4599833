package io.oleandermoor.gateway.request;

import io.oleandermoor.state.fleet.HostRoute;

/**
 * When the events of one stream came, as its caller sees them: over all instances that took part. Used on the event
 * loop only.
 */
final class StreamTimes {

    private final long arrivedMillis;
    private long lastMillis;
    private long firstDelayMillis = -1;
    private long longestPauseMillis;

    /**
     * Creates the times of a stream without events.
     *
     * @param arrivedMillis when its request came
     */
    StreamTimes(long arrivedMillis) {
        this.arrivedMillis = arrivedMillis;
    }

    /** Notes that at least one whole event has come. */
    void event(long nowMillis) {
        if (firstDelayMillis < 0) {
            firstDelayMillis = nowMillis - arrivedMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastMillis);
        }
        lastMillis = nowMillis;
    }

    /** Returns the time from the request to the first event; negative if there was none. */
    long firstDelayMillis() {
        return firstDelayMillis;
    }

    /** Returns the longest time between two events that followed each other. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Returns whether the stream missed the targets of its route. */
    boolean late(HostRoute route) {
        boolean pause = route.eventIntervalTargetMillis() > 0 && longestPauseMillis > route.eventIntervalTargetMillis();
        return pause || firstDelayMillis > route.latencyTargetMillis();
    }
}
