package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.state.configuration.Access;
import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.PrintStream;
import java.util.Objects;
import java.util.Optional;

/**
 * What can be called at every point of building a document: start another element, or end. Values are checked at the
 * end and all problems are reported together. Not safe for use by several threads.
 */
public abstract class DeploymentSteps {

    private final ObjectNode document;

    DeploymentSteps(ObjectNode document) {
        this.document = document;
    }

    ObjectNode document() {
        return document;
    }

    /**
     * Adds a team.
     *
     * @param name the name of the team
     * @return the steps that set its limits; rate and burst are required
     */
    public TeamStep team(String name) {
        return new TeamStep(document, add("teams").put("name", Objects.requireNonNull(name, "name")));
    }

    /**
     * Adds an issued key.
     *
     * @param key the key, with its hash
     * @return these steps
     */
    public DeploymentSteps key(ApiKey key) {
        list(document, "keys").add(OperatorJson.tree(Objects.requireNonNull(key, "key")));
        return this;
    }

    /**
     * Adds a model.
     *
     * @param name the name by which callers ask for the model
     * @return the steps that set its properties; version and memory are required
     */
    public ModelStep model(String name) {
        return new ModelStep(document, add("models").put("name", Objects.requireNonNull(name, "name")));
    }

    /**
     * Adds an adapter.
     *
     * @param name the name by which callers ask for the adapter
     * @return the steps that set its properties; model, version and memory are required
     */
    public AdapterStep adapter(String name) {
        return new AdapterStep(document, add("adapters").put("name", Objects.requireNonNull(name, "name")));
    }

    /**
     * Adds a route to a plain service.
     *
     * @param name the name of the route
     * @return the steps that set its properties; method, path, service and repeatability are required
     */
    public RouteStep route(String name) {
        ObjectNode route = add("routes").put("name", Objects.requireNonNull(name, "name"));
        return new RouteStep(document, route.put("access", Access.TEAM.name()));
    }

    /**
     * Sets how waiting requests are ordered and refused.
     *
     * @return the steps that set the properties; each has a default
     */
    public AdmissionStep admission() {
        return new AdmissionStep(
                document, document.withObjectProperty("settings").withObjectProperty("admission"));
    }

    /**
     * Sets the limits of the weight store.
     *
     * @return the steps that set the limits; all are required
     */
    public WeightStoreStep weightStore() {
        return new WeightStoreStep(
                document, document.withObjectProperty("settings").withObjectProperty("weightStore"));
    }

    /**
     * Adds a group of teams with the hours of its live demand.
     *
     * @param group the name of the group
     * @return the steps that set the hours; opening, closing and zone are required
     */
    public OpeningHoursStep openingHours(String group) {
        ObjectNode hours =
                list(document.withObjectProperty("settings"), "openingHours").addObject();
        return new OpeningHoursStep(document, hours.put("group", Objects.requireNonNull(group, "group")));
    }

    /**
     * Checks and returns the document.
     *
     * @return the document
     * @throws InvalidInputException if something is missing, wrong or contradictory; carries all problems
     */
    public ConfigurationDocument build() throws InvalidInputException {
        Findings findings = new Findings();
        Optional<ConfigurationDocument> result = DocumentReader.decode(document, findings);
        findings.throwIfErrors();
        return result.orElseThrow();
    }

    /**
     * Checks the document and prints it as JSON.
     *
     * @param output where to print; not closed
     * @throws InvalidInputException if something is missing, wrong or contradictory; nothing is printed then
     */
    public void print(PrintStream output) throws InvalidInputException {
        output.print(OperatorJson.document(build()));
        output.flush();
    }

    private ObjectNode add(String name) {
        return list(document, name).addObject();
    }

    static ArrayNode list(ObjectNode node, String name) {
        return node.withArrayProperty(name);
    }
}
