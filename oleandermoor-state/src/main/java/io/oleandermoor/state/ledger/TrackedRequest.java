package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.RequestId;

/**
 * Properties of a request that an {@link AttemptTracker} depends on.
 *
 * @param id the identifier of the request
 * @param repeatable whether the call may run more than once
 * @param maximumAttempts maximum number of attempts, not counting retries after an agent that stops has moved the
 *     request
 * @param deadlineMillis time after which no further attempt is sent, in milliseconds
 * @param trustedAnswerMillis maximum age of an attempt at which an agent's report that it never received the attempt is
 *     trusted, in milliseconds; it must not exceed the retention time of the ledgers, because an attempt whose record
 *     was removed is indistinguishable from one that was never received
 */
public record TrackedRequest(
        RequestId id, boolean repeatable, int maximumAttempts, long deadlineMillis, long trustedAnswerMillis) {

    /** Checks the ranges of the limits. */
    public TrackedRequest {
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("maximumAttempts must be at least 1, was " + maximumAttempts);
        }
        if (trustedAnswerMillis < 0) {
            throw new IllegalArgumentException("trustedAnswerMillis must not be negative, was " + trustedAnswerMillis);
        }
    }
}
