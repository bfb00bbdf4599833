package io.oleandermoor.state.configuration;

/**
 * What the weight store sustains. The placement owner plans and permits loads within these limits.
 *
 * @param loadsPerThousandSeconds model loads started in 1,000 seconds, so that 1.5 loads/s are 1500
 * @param concurrentLoads model loads that run at full speed at the same time
 * @param adapterLoadsInFlight adapter loads in flight up to which each takes only milliseconds
 */
public record WeightStoreLimits(long loadsPerThousandSeconds, int concurrentLoads, int adapterLoadsInFlight) {

    /** Limits in force until an operator sets others: low, so that no weight store is overloaded by default. */
    public static final WeightStoreLimits DEFAULT = new WeightStoreLimits(500, 2, 16);

    /**
     * Returns the rate of model loads.
     *
     * @return loads per second
     */
    public double loadsPerSecond() {
        return loadsPerThousandSeconds / 1000.0;
    }
}
