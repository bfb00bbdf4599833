package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.RequestId;

/**
 * What a tracker needs to know about a request.
 *
 * @param id the request
 * @param repeatable whether the call may run more than once
 * @param maximumAttempts number of attempts, those that an agent moved elsewhere not counted
 * @param deadlineMillis time after which no attempt is sent, in milliseconds
 * @param trustedAnswerMillis age of an attempt up to which an agent's answer that it never saw the attempt is trusted,
 *     in milliseconds; at most the retention of the ledgers, because a forgotten attempt looks like one never seen
 */
public record TrackedRequest(
        RequestId id, boolean repeatable, int maximumAttempts, long deadlineMillis, long trustedAnswerMillis) {

    /** Checks the numbers. */
    public TrackedRequest {
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("maximumAttempts must be at least 1, was " + maximumAttempts);
        }
        if (trustedAnswerMillis < 0) {
            throw new IllegalArgumentException("trustedAnswerMillis must not be negative, was " + trustedAnswerMillis);
        }
    }
}
