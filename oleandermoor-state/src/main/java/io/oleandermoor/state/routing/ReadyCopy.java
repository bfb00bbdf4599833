package io.oleandermoor.state.routing;

/**
 * A ready copy of a model, adapter or plain service at an upstream. The latency is written under the lock of the
 * routing table and read without it.
 */
final class ReadyCopy {

    /** Weight of a new sample in the exponential moving average of the latency. */
    private static final double LATENCY_SMOOTHING_FACTOR = 0.1;

    final UpstreamState upstream;
    final long readySinceMillis;
    private volatile double averageLatencyMillis;
    private volatile int latencySampleCount;

    ReadyCopy(UpstreamState upstream, long readySinceMillis) {
        this.upstream = upstream;
        this.readySinceMillis = readySinceMillis;
    }

    void recordLatency(double sampleMillis) {
        int samples = latencySampleCount;
        averageLatencyMillis = samples == 0
                ? sampleMillis
                : averageLatencyMillis + LATENCY_SMOOTHING_FACTOR * (sampleMillis - averageLatencyMillis);
        latencySampleCount = samples + 1;
    }

    void clearLatency() {
        latencySampleCount = 0;
    }

    double averageLatencyMillis() {
        return averageLatencyMillis;
    }

    int latencySampleCount() {
        return latencySampleCount;
    }
}
