package io.oleandermoor.state.coldstart;

/**
 * The bound on the requests that a cold instance gets from all entries in any span of one second.
 *
 * @param overrun the factor on the rate that the instance tolerates
 * @param slack the number of requests above that
 */
public record ColdStartBounds(double overrun, double slack) {

    /** Returns the maximum number of requests in one second for a rate that an instance tolerates. */
    double maximumRequests(double requestsPerSecond) {
        return requestsPerSecond * overrun + slack;
    }
}
