package io.oleandermoor.state.admission;

/** Decision about a request that is offered to a queue. */
public sealed interface AdmissionDecision {

    /**
     * The request waits.
     *
     * @param expectedWaitMillis expected time until it starts
     */
    record Queued(long expectedWaitMillis) implements AdmissionDecision {}

    /**
     * The request is refused and has not run.
     *
     * @param retryAfterMillis time after which it can be accepted if no other work arrives
     * @param reason why it is refused
     */
    record Refused(long retryAfterMillis, Reason reason) implements AdmissionDecision {}

    /** Reason of a refusal. */
    enum Reason {
        /** It would not start before its deadline. */
        DEADLINE,
        /** It would wait longer than the queue allows. */
        WAIT_LIMIT,
        /** The queue is full, or the team already uses its part of it. */
        QUEUE_FULL
    }
}
