package io.oleandermoor.state.configuration;

import io.oleandermoor.state.identity.RouteName;
import io.oleandermoor.state.identity.ServiceName;

/**
 * A route that forwards calls under a path prefix of an entry to a plain service.
 *
 * @param name the name of the route
 * @param method the HTTP method
 * @param path the path prefix, starting with a slash
 * @param service the plain service that handles the calls
 * @param access which callers may use the route
 * @param repeatability whether a call may be sent to the service more than once
 * @param idempotencyKeyRequired whether calls without an idempotency key are rejected
 * @param maximumBodyBytes maximum size of a request body, in bytes; 0 is replaced by
 *     {@link #DEFAULT_MAXIMUM_BODY_BYTES}, so that a stored route without the field can be read
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

    /** Maximum size of a request body on a route that does not specify one, in bytes. */
    public static final long DEFAULT_MAXIMUM_BODY_BYTES = 1 << 20;

    /** Upper limit of {@code maximumBodyBytes}; an entry buffers each request body in memory as a whole. */
    public static final long MAXIMUM_BODY_BYTES_LIMIT = 64 << 20;

    /** Replaces a maximum body size of 0 by the default. */
    public Route {
        maximumBodyBytes = maximumBodyBytes == 0 ? DEFAULT_MAXIMUM_BODY_BYTES : maximumBodyBytes;
    }

    /**
     * Creates a route that requires no idempotency key and has the default maximum body size.
     *
     * @param name the name of the route
     * @param method the HTTP method
     * @param path the path prefix, starting with a slash
     * @param service the plain service that handles the calls
     * @param access which callers may use the route
     * @param repeatability whether a call may be sent to the service more than once
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
