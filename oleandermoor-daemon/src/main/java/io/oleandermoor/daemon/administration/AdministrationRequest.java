package io.oleandermoor.daemon.administration;

import java.util.Objects;
import java.util.Optional;

/**
 * A request to the admin API.
 *
 * @param method the HTTP method
 * @param path the path without query
 * @param authorization the value of the header {@code Authorization}
 * @param body the body, empty if there is none; the HTTP server reads at most one byte more than
 *     {@link AdministrationApi#bodyLimitBytes} of it
 */
public record AdministrationRequest(String method, String path, Optional<String> authorization, byte[] body) {

    /** Checks the arguments. The body is not copied. */
    public AdministrationRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(authorization, "authorization");
        Objects.requireNonNull(body, "body");
    }

    /** Returns method and path, never the credential or the body. */
    @Override
    public String toString() {
        return method + " " + path;
    }
}
