package io.oleandermoor.state.configuration;

import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.ServiceName;

/**
 * A route from a path of an entry to a plain service.
 *
 * @param name the name of the route
 * @param method the HTTP method
 * @param path the path prefix, starting with a slash
 * @param service the plain service that answers
 * @param access who may use the route
 * @param repeatability whether a call may be repeated
 * @param idempotencyKeyRequired whether a call without an idempotency key is refused
 * @param maximumBodyBytes size of the largest accepted request body in bytes; 0 stands for
 *     {@link #DEFAULT_MAXIMUM_BODY_BYTES} and is replaced by it, so that a stored route without the field can be read
 */
public record Route(
        RouteName name,
        String method,
        String path,
        ServiceName service,
        Access access,
        Repeatability repeatability,
        boolean idempotencyKeyRequired,
        long maximumBodyBytes) {

    /** Size of the largest request body on a route that does not state one, in bytes. */
    public static final long DEFAULT_MAXIMUM_BODY_BYTES = 1 << 20;

    /** Largest size of a request body that a route can permit, in bytes; an entry holds a whole body in memory. */
    public static final long MAXIMUM_BODY_BYTES_LIMIT = 64 << 20;

    /** Sets the default size. */
    public Route {
        maximumBodyBytes = maximumBodyBytes == 0 ? DEFAULT_MAXIMUM_BODY_BYTES : maximumBodyBytes;
    }

    /**
     * Creates a route that needs no idempotency key and has the default size of a body.
     *
     * @param name the name of the route
     * @param method the HTTP method
     * @param path the path prefix, starting with a slash
     * @param service the plain service that answers
     * @param access who may use the route
     * @param repeatability whether a call may be repeated
     */
    public Route(
            RouteName name,
            String method,
            String path,
            ServiceName service,
            Access access,
            Repeatability repeatability) {
        this(name, method, path, service, access, repeatability, false, DEFAULT_MAXIMUM_BODY_BYTES);
    }
}
