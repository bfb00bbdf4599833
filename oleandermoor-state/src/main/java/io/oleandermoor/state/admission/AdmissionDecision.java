package io.oleandermoor.state.admission;

/** Decision about a request that is offered to a queue. */
public sealed interface AdmissionDecision {

    /**
     * The request waits.
     *
     * @param expectedWaitMillis expected time until the request starts
     */
    record Queued(long expectedWaitMillis) implements AdmissionDecision {}

    /**
     * The request is refused without having run.
     *
     * @param retryAfterMillis time after which the request can be accepted if no other requests arrive
     * @param reason why the request is refused
     */
    record Refused(long retryAfterMillis, Reason reason) implements AdmissionDecision {}

    /** Reason of a refusal. */
    enum Reason {
        /** The request would not start before its deadline. */
        DEADLINE,
        /** The expected wait exceeds the limit of the queue. */
        WAIT_LIMIT,
        /** The queue is full, or the team has reached its limit of waiting requests. */
        QUEUE_FULL
    }
}
