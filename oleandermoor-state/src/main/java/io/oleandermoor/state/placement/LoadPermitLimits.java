package io.oleandermoor.state.placement;

/**
 * Limits for permits to load from the weight store.
 *
 * @param modelLoadsPerSecond average number of model loads that may start per second
 * @param concurrentModelLoads maximum number of concurrent model loads
 * @param concurrentAdapterLoads maximum number of concurrent adapter loads; their rate is not limited, because a load
 *     takes milliseconds
 * @param permitMillis validity of a permit without renewal, in milliseconds
 * @param requestMillis time after which a pending request expires unless it is repeated, in milliseconds
 */
public record LoadPermitLimits(
        double modelLoadsPerSecond,
        int concurrentModelLoads,
        int concurrentAdapterLoads,
        long permitMillis,
        long requestMillis) {

    /** Validates the values. */
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
