package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.RequestId;

/**
 * Identifies one attempt of a request. Each attempt is sent to a single upstream.
 *
 * @param request the identifier of the request
 * @param attempt the number of the attempt, starting at 1
 */
public record AttemptKey(RequestId request, int attempt) {

    /** Checks that the attempt number is positive. */
    public AttemptKey {
        if (attempt < 1) {
            throw new IllegalArgumentException("attempt must be at least 1, was " + attempt);
        }
    }
}
