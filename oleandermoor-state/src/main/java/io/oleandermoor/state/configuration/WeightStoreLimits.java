package io.oleandermoor.state.configuration;

/**
 * Load limits of the weight store. The placement owner plans and permits loads within these limits.
 *
 * @param loadsPerThousandSeconds maximum number of model loads started per 1,000 seconds; 1500 means 1.5 loads/s
 * @param concurrentLoads maximum number of concurrent model loads at which each still runs at full speed
 * @param adapterLoadsInFlight maximum number of concurrent adapter loads at which each still takes only milliseconds
 */
public record WeightStoreLimits(long loadsPerThousandSeconds, int concurrentLoads, int adapterLoadsInFlight) {

    /** Limits used until an operator sets others; low, so that no weight store is overloaded by default. */
    public static final WeightStoreLimits DEFAULT = new WeightStoreLimits(500, 2, 16);

    /**
     * Returns the maximum rate of model loads.
     *
     * @return loads per second
     */
    public double loadsPerSecond() {
        return loadsPerThousandSeconds / 1000.0;
    }
}
