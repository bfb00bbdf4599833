package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Starts a configuration document. A program of an operator builds a document and prints it:
 *
 * <pre>{@code
 * DeploymentBuilder.create()
 *         .team("cafe").rate(2_000).burst(20_000)
 *         .model("draft-7b").version("3").memoryMegabytes(15_000)
 *         .print(System.out);
 * }</pre>
 */
public final class DeploymentBuilder extends DeploymentSteps {

    private DeploymentBuilder(ObjectNode document) {
        super(document);
    }

    /**
     * Starts an empty document.
     *
     * @return the first steps
     */
    public static DeploymentBuilder create() {
        return new DeploymentBuilder(OperatorJson.emptyTree());
    }
}
