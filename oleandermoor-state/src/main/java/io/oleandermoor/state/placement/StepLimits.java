package io.oleandermoor.state.placement;

/**
 * Loads that may be started now.
 *
 * @param modelLoads most loads of models
 * @param adapterLoads most loads of adapters
 */
public record StepLimits(int modelLoads, int adapterLoads) {

    /** Checks the numbers. */
    public StepLimits {
        if (modelLoads < 0 || adapterLoads < 0) {
            throw new IllegalArgumentException(
                    "modelLoads " + modelLoads + " and adapterLoads " + adapterLoads + " must not be negative");
        }
    }
}
