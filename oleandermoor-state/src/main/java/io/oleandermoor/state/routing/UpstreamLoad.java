package io.oleandermoor.state.routing;

/**
 * Load of an upstream as its agent reported it. The report lags behind the true load.
 *
 * @param running number of requests that run
 * @param queued number of requests that wait in the agent
 * @param slots number of requests that can run together, at least 1
 * @param expectedWaitMillis expected wait of a new request, in milliseconds
 * @param measuredAtMillis time of the measurement on the reader's monotonic clock, in milliseconds; when it can only be
 *     estimated, an early time is safe, because requests are then counted twice rather than missed
 */
public record UpstreamLoad(int running, int queued, int slots, int expectedWaitMillis, long measuredAtMillis) {

    /** Checks the numbers. */
    public UpstreamLoad {
        if (running < 0 || queued < 0 || expectedWaitMillis < 0) {
            throw new IllegalArgumentException("running, queued and expectedWaitMillis must not be negative");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1, was " + slots);
        }
    }

    /**
     * Returns the requests that run or wait.
     *
     * @return their number
     */
    public int outstanding() {
        return running + queued;
    }
}
