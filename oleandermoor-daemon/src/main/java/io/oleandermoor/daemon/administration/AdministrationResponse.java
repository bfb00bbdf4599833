package io.oleandermoor.daemon.administration;

import java.util.Objects;

/**
 * A response of the admin API.
 *
 * @param status the HTTP status
 * @param body a JSON object
 */
public record AdministrationResponse(int status, String body) {

    /** Media type of every response. */
    public static final String CONTENT_TYPE = "application/json";

    /** Checks the arguments. */
    public AdministrationResponse {
        Objects.requireNonNull(body, "body");
    }
}
