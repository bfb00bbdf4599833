package io.oleandermoor.gateway.request;

import io.oleandermoor.state.fleet.HostRoute;

/**
 * When the events of one stream came, as its caller sees them: over all instances that took part. Used on the event
 * loop only.
 */
final class StreamLatency {

    private final long arrivedMillis;
    private long lastEventMillis;
    private long firstEventDelayMillis = -1;
    private long longestPauseMillis;

    /**
     * Creates the times of a stream without events.
     *
     * @param arrivedMillis when its request came
     */
    StreamLatency(long arrivedMillis) {
        this.arrivedMillis = arrivedMillis;
    }

    /** Notes that at least one whole event has come. */
    void recordEvents(long nowMillis) {
        if (firstEventDelayMillis < 0) {
            firstEventDelayMillis = nowMillis - arrivedMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventMillis);
        }
        lastEventMillis = nowMillis;
    }

    /** Returns the time from the request to the first event; negative if there was none. */
    long firstEventDelayMillis() {
        return firstEventDelayMillis;
    }

    /** Returns the longest time between two events that followed each other. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Returns whether the stream missed the targets of its route. */
    boolean missesTargets(HostRoute route) {
        boolean pause = route.pauseTargetMillis() > 0 && longestPauseMillis > route.pauseTargetMillis();
        return pause || firstEventDelayMillis > route.latencyTargetMillis();
    }
}
