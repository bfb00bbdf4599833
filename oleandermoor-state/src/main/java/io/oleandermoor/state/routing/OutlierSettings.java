package io.oleandermoor.state.routing;

/**
 * Limits of outlier ejection.
 *
 * @param consecutiveFailures number of failures in a row that eject an upstream
 * @param baseEjectionMillis length of the first ejection, in milliseconds; each further one is twice as long
 * @param maximumEjectionMillis longest ejection, in milliseconds
 * @param probeTimeoutMillis time after which a probe without a result is given up, in milliseconds
 * @param latencyRatio multiple of the others' median latency that makes an upstream an outlier
 * @param minimumLatencyDifferenceMillis difference to the median below which latency never ejects, in milliseconds
 * @param minimumLatencySamples number of results needed before latency is judged
 */
public record OutlierSettings(
        int consecutiveFailures,
        long baseEjectionMillis,
        long maximumEjectionMillis,
        long probeTimeoutMillis,
        double latencyRatio,
        double minimumLatencyDifferenceMillis,
        int minimumLatencySamples) {

    /** Checks the numbers. */
    public OutlierSettings {
        if (consecutiveFailures < 1 || minimumLatencySamples < 1) {
            throw new IllegalArgumentException("consecutiveFailures and latencySamples must be positive");
        }
        if (baseEjectionMillis < 1 || maximumEjectionMillis < baseEjectionMillis || probeTimeoutMillis < 1) {
            throw new IllegalArgumentException(
                    "ejection and probe times must be positive, and the longest not below the first");
        }
        if (latencyRatio <= 1) {
            throw new IllegalArgumentException("latencyFactor must be above 1, was " + latencyRatio);
        }
    }

    /**
     * Returns the usual limits.
     *
     * @return five failures, ejections of 5 s to 5 min, three times the median latency
     */
    public static OutlierSettings defaults() {
        return new OutlierSettings(5, 5_000, 300_000, 10_000, 3.0, 50.0, 20);
    }
}
