package io.oleandermoor.state.placement;

/**
 * Limits for the loads that can currently be started.
 *
 * @param modelLoads maximum number of model loads
 * @param adapterLoads maximum number of adapter loads
 */
public record StepLimits(int modelLoads, int adapterLoads) {

    /** Validates the values. */
    public StepLimits {
        if (modelLoads < 0 || adapterLoads < 0) {
            throw new IllegalArgumentException(
                    "modelLoads " + modelLoads + " and adapterLoads " + adapterLoads + " must not be negative");
        }
    }
}
