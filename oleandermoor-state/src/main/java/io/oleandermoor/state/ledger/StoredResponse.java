package io.oleandermoor.state.ledger;

import java.util.List;

/**
 * Stored response of a non-repeatable call, replayed to repeats of the call.
 *
 * @param status the HTTP status
 * @param headers the header fields
 * @param body the body, empty if it exceeded the maximum size
 * @param bodyOmitted whether the body exceeded the maximum size and was omitted
 */
public record StoredResponse(int status, List<HeaderField> headers, Body body, boolean bodyOmitted) {

    /** Copies the header fields. */
    public StoredResponse {
        headers = List.copyOf(headers);
    }

    /**
     * Creates a stored response from the result of an attempt.
     *
     * @param result the result of the upstream
     * @param maximumBodyBytes the maximum size of a body that is stored, in bytes
     * @return the response to store
     */
    public static StoredResponse of(AttemptResult result, int maximumBodyBytes) {
        boolean omitted = result.body().length() > maximumBodyBytes;
        return new StoredResponse(result.status(), result.headers(), omitted ? Body.empty() : result.body(), omitted);
    }
}
