package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.RequestId;

/**
 * Identifies one attempt of a request. An attempt is sent to one upstream only.
 *
 * @param request the request
 * @param attempt the number of the attempt, starting at 1
 */
public record AttemptKey(RequestId request, int attempt) {

    /** Checks the number. */
    public AttemptKey {
        if (attempt < 1) {
            throw new IllegalArgumentException("attempt must be at least 1, was " + attempt);
        }
    }
}
