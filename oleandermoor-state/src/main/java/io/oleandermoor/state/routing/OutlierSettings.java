package io.oleandermoor.state.routing;

/**
 * Limits of outlier ejection.
 *
 * @param consecutiveFailures number of consecutive failures after which an upstream is ejected
 * @param baseEjectionMillis duration of the first ejection, in milliseconds; it doubles with each further ejection
 * @param maximumEjectionMillis maximum duration of an ejection, in milliseconds
 * @param probeTimeoutMillis time after which a probe without a result is considered lost, in milliseconds
 * @param latencyRatio ratio to the median latency of other copies above which a copy is an outlier
 * @param minimumLatencyDifferenceMillis difference from the median latency that must also be exceeded, in milliseconds
 * @param minimumLatencySamples number of latency samples of a copy required before it is compared with others
 */
public record OutlierSettings(
        int consecutiveFailures,
        long baseEjectionMillis,
        long maximumEjectionMillis,
        long probeTimeoutMillis,
        double latencyRatio,
        double minimumLatencyDifferenceMillis,
        int minimumLatencySamples) {

    /** Validates the limits. */
    public OutlierSettings {
        if (consecutiveFailures < 1 || minimumLatencySamples < 1) {
            throw new IllegalArgumentException("consecutiveFailures and minimumLatencySamples must be positive");
        }
        if (baseEjectionMillis < 1 || maximumEjectionMillis < baseEjectionMillis || probeTimeoutMillis < 1) {
            throw new IllegalArgumentException(
                    "ejection and probe durations must be positive, and the maximum not below the base");
        }
        if (latencyRatio <= 1) {
            throw new IllegalArgumentException("latencyRatio must be above 1, was " + latencyRatio);
        }
    }

    /**
     * Returns the default limits.
     *
     * @return limits of five failures, ejections of 5 s to 5 min, and three times the median latency
     */
    public static OutlierSettings defaults() {
        return new OutlierSettings(5, 5_000, 300_000, 10_000, 3.0, 50.0, 20);
    }
}
