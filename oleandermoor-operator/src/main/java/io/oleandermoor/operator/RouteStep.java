package io.oleandermoor.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.state.configuration.Access;
import io.oleandermoor.state.configuration.Repeatability;

/**
 * Sets the properties of a route. A key of a team is needed unless the route is open. Not safe for use by several
 * threads.
 */
public final class RouteStep extends DeploymentSteps {

    private final ObjectNode element;

    RouteStep(ObjectNode document, ObjectNode element) {
        super(document);
        this.element = element;
    }

    /**
     * Sets the HTTP method POST.
     *
     * @return these steps
     */
    public RouteStep post() {
        element.put("method", "POST");
        return this;
    }

    /**
     * Sets the HTTP method GET.
     *
     * @return these steps
     */
    public RouteStep get() {
        element.put("method", "GET");
        return this;
    }

    /**
     * Sets the HTTP method.
     *
     * @param method the method in capitals
     * @return these steps
     */
    public RouteStep method(String method) {
        element.put("method", method);
        return this;
    }

    /**
     * Sets the path prefix.
     *
     * @param path the prefix, starting with a slash
     * @return these steps
     */
    public RouteStep path(String path) {
        element.put("path", path);
        return this;
    }

    /**
     * Sets the plain service that answers.
     *
     * @param service the name of the service
     * @return these steps
     */
    public RouteStep service(String service) {
        element.put("service", service);
        return this;
    }

    /**
     * Lets callers use the route without a key.
     *
     * @return these steps
     */
    public RouteStep open() {
        element.put("access", Access.OPEN.name());
        return this;
    }

    /**
     * States that calls may be sent more than once.
     *
     * @return these steps
     */
    public RouteStep repeatable() {
        element.put("repeatability", Repeatability.IDEMPOTENT.name());
        return this;
    }

    /**
     * States that a call must run at most once.
     *
     * @return these steps
     */
    public RouteStep atMostOnce() {
        element.put("repeatability", Repeatability.AT_MOST_ONCE.name());
        return this;
    }

    /**
     * Refuses calls without an idempotency key.
     *
     * @return these steps
     */
    public RouteStep requireIdempotencyKey() {
        element.put("idempotencyKeyRequired", true);
        return this;
    }

    /**
     * Sets the size of the largest accepted request body; 1 MiB if not set.
     *
     * @param maximumBodyBytes bytes, positive
     * @return these steps
     */
    public RouteStep maximumBodyBytes(long maximumBodyBytes) {
        element.put("maximumBodyBytes", maximumBodyBytes);
        return this;
    }
}
