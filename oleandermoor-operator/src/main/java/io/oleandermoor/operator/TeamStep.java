package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Sets the limits of a team. Not safe for use by several threads. */
public final class TeamStep extends DeploymentSteps {

    private final ObjectNode element;

    TeamStep(ObjectNode document, ObjectNode element) {
        super(document);
        this.element = element;
    }

    /**
     * Sets the sustained rate.
     *
     * @param rate tokens per second over all instances, positive
     * @return these steps
     */
    public TeamStep rate(long rate) {
        element.put("rate", rate);
        return this;
    }

    /**
     * Sets the burst.
     *
     * @param burst largest number of tokens that may be used at once, positive
     * @return these steps
     */
    public TeamStep burst(long burst) {
        element.put("burst", burst);
        return this;
    }

    /**
     * Sets the share of a contended upstream relative to other teams; 1 if not set.
     *
     * @param weight the weight, positive
     * @return these steps
     */
    public TeamStep weight(int weight) {
        element.put("weight", weight);
        return this;
    }
}
