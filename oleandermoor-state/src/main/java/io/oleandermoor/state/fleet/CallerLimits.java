package io.oleandermoor.state.fleet;

/**
 * What callers may send and how long they may take.
 *
 * @param maximumHeaderBytes the size of the largest header section
 * @param maximumBodyBytes the size of the largest body
 * @param headerTimeoutMillis the longest time for sending a header section
 * @param idleTimeoutMillis the longest time for which a connection without a request stays open
 */
public record CallerLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
