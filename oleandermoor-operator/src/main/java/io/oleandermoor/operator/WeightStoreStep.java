package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Sets the limits of the weight store. Not safe for use by several threads. */
public final class WeightStoreStep extends DeploymentSteps {

    private final ObjectNode element;

    WeightStoreStep(ObjectNode document, ObjectNode element) {
        super(document);
        this.element = element;
    }

    /**
     * Sets the rate of model loads.
     *
     * @param loadsPerThousandSeconds loads in 1,000 seconds, positive
     * @return these steps
     */
    public WeightStoreStep loadsPerThousandSeconds(long loadsPerThousandSeconds) {
        element.put("loadsPerThousandSeconds", loadsPerThousandSeconds);
        return this;
    }

    /**
     * Sets how many model loads run at full speed at the same time.
     *
     * @param concurrentLoads the number, positive
     * @return these steps
     */
    public WeightStoreStep concurrentLoads(int concurrentLoads) {
        element.put("concurrentLoads", concurrentLoads);
        return this;
    }

    /**
     * Sets up to how many adapter loads in flight each takes only milliseconds.
     *
     * @param adapterLoadsInFlight the number, positive
     * @return these steps
     */
    public WeightStoreStep adapterLoadsInFlight(int adapterLoadsInFlight) {
        element.put("adapterLoadsInFlight", adapterLoadsInFlight);
        return this;
    }
}
