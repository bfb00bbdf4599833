package io.oleandermoor.daemon.administration;

import java.util.Objects;
import java.util.Optional;

/** A request to the admin API. Safe for use by several threads as long as the body is not changed. */
public final class AdministrationRequest {

    private final String method;
    private final String path;
    private final Optional<String> authorization;
    private final byte[] body;

    /**
     * Creates a request.
     *
     * @param method the HTTP method
     * @param path the path without query
     * @param authorization the value of the header {@code Authorization}
     * @param body the body, empty if there is none; not copied. The HTTP server reads at most one byte more than
     *     {@link AdministrationApi#bodyLimitBytes} of it
     */
    public AdministrationRequest(String method, String path, Optional<String> authorization, byte[] body) {
        this.method = Objects.requireNonNull(method, "method");
        this.path = Objects.requireNonNull(path, "path");
        this.authorization = Objects.requireNonNull(authorization, "authorization");
        this.body = Objects.requireNonNull(body, "body");
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    Optional<String> authorization() {
        return authorization;
    }

    byte[] body() {
        return body;
    }

    /** Returns method and path, never the credential or the body. */
    @Override
    public String toString() {
        return method + " " + path;
    }
}
