package io.oleandermoor.state.fleet;

/**
 * How the instances of a service behave after they start.
 *
 * @param durationMillis the time for which an instance is cold after its start
 * @param requestsPerSecond the rate of requests that a cold instance tolerates, over all entries
 */
public record ColdStartProfile(long durationMillis, double requestsPerSecond) {}
