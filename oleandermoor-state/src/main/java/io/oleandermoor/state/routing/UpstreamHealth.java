package io.oleandermoor.state.routing;

/**
 * Failure and ejection state of one upstream. Written under the lock of the routing table and read without it. This is
 * a base class of {@link UpstreamState} rather than a field, because every choice reads it and a separate object would
 * cost one more cache miss.
 */
abstract class UpstreamHealth {

    volatile long ejectedUntilMillis = Long.MIN_VALUE;
    volatile boolean probing;
    volatile boolean probeInFlight;
    volatile long probeSentMillis;
    int consecutiveFailures;
    int ejectionCount;
    long lastEjectionMillis;

    void endEjection() {
        ejectedUntilMillis = Long.MIN_VALUE;
        probing = false;
        probeInFlight = false;
        consecutiveFailures = 0;
    }
}
