package io.oleandermoor.state.ledger;

import java.util.List;

/**
 * Answer of a non-repeatable call as it is kept for repeats.
 *
 * @param status the HTTP status
 * @param headers the header
 * @param body the body, empty if it was too long to keep
 * @param bodyOmitted whether the body was too long to keep
 */
public record StoredResponse(int status, List<HeaderField> headers, Body body, boolean bodyOmitted) {

    /** Copies the header. */
    public StoredResponse {
        headers = List.copyOf(headers);
    }

    /**
     * Makes an answer of a result.
     *
     * @param result the result of the upstream
     * @param maximumBodyBytes the longest body to keep
     * @return the answer
     */
    public static StoredResponse of(AttemptResult result, int maximumBodyBytes) {
        boolean omitted = result.body().length() > maximumBodyBytes;
        return new StoredResponse(result.status(), result.headers(), omitted ? Body.empty() : result.body(), omitted);
    }
}
