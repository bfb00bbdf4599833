package io.oleandermoor.state.fleet;

/**
 * Limits on the size and the duration of requests from callers.
 *
 * @param maximumHeaderBytes the maximum size of the header section
 * @param maximumBodyBytes the maximum size of the body
 * @param headerTimeoutMillis the maximum time for receiving the header section
 * @param idleTimeoutMillis the maximum time for which a connection without a request stays open
 */
public record CallerLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
