package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Sets the properties of an adapter. Not safe for use by several threads. */
public final class AdapterStep extends DeploymentSteps {

    private final ObjectNode element;

    AdapterStep(ObjectNode document, ObjectNode element) {
        super(document);
        this.element = element;
    }

    /**
     * Sets the base model.
     *
     * @param model the name of a model in the same document
     * @return these steps
     */
    public AdapterStep of(String model) {
        element.put("model", model);
        return this;
    }

    /**
     * Sets the version of the weights to serve.
     *
     * @param version the version
     * @return these steps
     */
    public AdapterStep version(String version) {
        element.put("version", version);
        return this;
    }

    /**
     * Sets the accelerator memory that one loaded copy takes.
     *
     * @param memoryMegabytes megabytes, positive
     * @return these steps
     */
    public AdapterStep memoryMegabytes(long memoryMegabytes) {
        element.put("memoryMegabytes", memoryMegabytes);
        return this;
    }
}
