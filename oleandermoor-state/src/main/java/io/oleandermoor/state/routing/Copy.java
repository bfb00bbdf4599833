package io.oleandermoor.state.routing;

/**
 * One ready copy of a model, adapter or service at an upstream. The latency is written under the lock of the routing
 * table and read without it.
 */
final class Copy {

    /** Weight of a new sample in the moving average of the latency. */
    private static final double LATENCY_WEIGHT = 0.1;

    final UpstreamState upstream;
    final long readySinceMillis;
    private volatile double latencyMillis;
    private volatile int latencySamples;

    Copy(UpstreamState upstream, long readySinceMillis) {
        this.upstream = upstream;
        this.readySinceMillis = readySinceMillis;
    }

    void addLatency(double sampleMillis) {
        int samples = latencySamples;
        latencyMillis = samples == 0 ? sampleMillis : latencyMillis + LATENCY_WEIGHT * (sampleMillis - latencyMillis);
        latencySamples = samples + 1;
    }

    void clearLatency() {
        latencySamples = 0;
    }

    double latencyMillis() {
        return latencyMillis;
    }

    int latencySamples() {
        return latencySamples;
    }
}
