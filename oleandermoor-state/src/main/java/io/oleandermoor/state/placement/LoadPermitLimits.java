package io.oleandermoor.state.placement;

/**
 * Limits of the weight store.
 *
 * @param modelLoadsPerSecond models that may be started to load per second over time
 * @param concurrentModelLoads models that may be loading at once
 * @param concurrentAdapterLoads adapters that may be loading at once; they count towards no rate, because they take
 *     milliseconds
 * @param permitMillis how long a permit is valid without renewal, in milliseconds
 * @param requestMillis how long a request is remembered without being repeated, in milliseconds
 */
public record LoadPermitLimits(
        double modelLoadsPerSecond,
        int concurrentModelLoads,
        int concurrentAdapterLoads,
        long permitMillis,
        long requestMillis) {

    /** Checks the numbers. */
    public LoadPermitLimits {
        if (!(modelLoadsPerSecond > 0) || concurrentModelLoads <= 0 || concurrentAdapterLoads <= 0) {
            throw new IllegalArgumentException(
                    "modelLoadsPerSecond, concurrentModelLoads and concurrentAdapterLoads" + " must be positive");
        }
        if (permitMillis <= 0 || requestMillis <= 0) {
            throw new IllegalArgumentException("permitMillis and requestMillis must be positive");
        }
    }
}
