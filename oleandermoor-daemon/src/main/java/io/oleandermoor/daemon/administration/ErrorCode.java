package io.oleandermoor.daemon.administration;

import java.util.Locale;

/** Errors of the admin API. */
enum ErrorCode {
    INVALID(400),
    UNAUTHORIZED(401),
    NOT_FOUND(404),
    METHOD_NOT_ALLOWED(405),
    CONFLICT(409),
    TOO_LARGE(413),
    INTERNAL(500),
    /** Nothing was changed. */
    UNAVAILABLE(503),
    /** The change may take effect or may have taken effect. */
    UNKNOWN(503);

    private final int status;

    ErrorCode(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
