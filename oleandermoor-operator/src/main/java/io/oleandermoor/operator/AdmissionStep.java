package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.state.configuration.AdmissionSettings;

/** Sets how waiting requests are ordered and refused. Not safe for use by several threads. */
public final class AdmissionStep extends DeploymentSteps {

    private final ObjectNode element;

    AdmissionStep(ObjectNode document, ObjectNode element) {
        super(document);
        this.element = element;
    }

    /**
     * Selects the policy that weighs the worst-served team against wrongful refusals.
     *
     * @return these steps
     */
    public AdmissionStep weighted() {
        element.put("policy", AdmissionSettings.WEIGHTED);
        return this;
    }

    /**
     * Selects the baseline policy, which serves in the order of arrival.
     *
     * @return these steps
     */
    public AdmissionStep firstCome() {
        element.put("policy", AdmissionSettings.FIRST_COME);
        return this;
    }

    /**
     * Sets the weight of the service received by the worst-served team.
     *
     * @param worstServedWeight the weight, not negative
     * @return these steps
     */
    public AdmissionStep worstServedWeight(int worstServedWeight) {
        element.put("worstServedWeight", worstServedWeight);
        return this;
    }

    /**
     * Sets the weight of requests refused although within the rate of their team.
     *
     * @param refusalWeight the weight, not negative
     * @return these steps
     */
    public AdmissionStep refusalWeight(int refusalWeight) {
        element.put("refusalWeight", refusalWeight);
        return this;
    }

    /**
     * Sets the least share of slots for batch work.
     *
     * @param batchSharePercent percent, 0 to 100
     * @return these steps
     */
    public AdmissionStep batchSharePercent(int batchSharePercent) {
        element.put("batchSharePercent", batchSharePercent);
        return this;
    }
}
