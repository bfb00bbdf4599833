package io.oleandermoor.state.routing;

/**
 * Load of an upstream as reported by its agent. The report lags behind the actual load.
 *
 * @param running number of running requests
 * @param queued number of requests queued in the agent
 * @param slots number of requests that can run concurrently, at least 1
 * @param expectedWaitMillis expected queueing time of a new request, in milliseconds
 * @param measuredAtMillis time of the measurement on the reader's monotonic clock, in milliseconds; an estimate should
 *     be early rather than late, because requests are then counted twice rather than missed
 */
public record UpstreamLoad(int running, int queued, int slots, int expectedWaitMillis, long measuredAtMillis) {

    /** Validates the numbers. */
    public UpstreamLoad {
        if (running < 0 || queued < 0 || expectedWaitMillis < 0) {
            throw new IllegalArgumentException("running, queued and expectedWaitMillis must not be negative");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1, was " + slots);
        }
    }

    /**
     * Returns the number of running and queued requests.
     *
     * @return the number of outstanding requests
     */
    public int outstanding() {
        return running + queued;
    }
}
