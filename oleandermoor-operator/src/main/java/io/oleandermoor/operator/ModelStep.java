package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Sets the properties of a model. Not safe for use by several threads. */
public final class ModelStep extends DeploymentSteps {

    private final ObjectNode element;

    ModelStep(ObjectNode document, ObjectNode element) {
        super(document);
        this.element = element;
    }

    /**
     * Sets the version of the weights to serve.
     *
     * @param version the version
     * @return these steps
     */
    public ModelStep version(String version) {
        element.put("version", version);
        return this;
    }

    /**
     * Sets the accelerator memory that one loaded copy takes.
     *
     * @param memoryMegabytes megabytes, positive
     * @return these steps
     */
    public ModelStep memoryMegabytes(long memoryMegabytes) {
        element.put("memoryMegabytes", memoryMegabytes);
        return this;
    }

    /**
     * Sets the least number of ready copies to keep; 1 if not set.
     *
     * @param minimumCopies the number, positive
     * @return these steps
     */
    public ModelStep minimumCopies(int minimumCopies) {
        element.put("minimumCopies", minimumCopies);
        return this;
    }
}
