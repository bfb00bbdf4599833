package io.oleandermoor.state.ledger;

/** Something that an entry learns about the request of a caller. Events of an attempt carry its key. */
public sealed interface AttemptEvent {

    /** An event that concerns one attempt and is ignored when it is not the current one. */
    sealed interface AttemptScoped extends AttemptEvent {

        /**
         * Returns the attempt.
         *
         * @return the key
         */
        AttemptKey key();
    }

    /**
     * The agent accepted the attempt.
     *
     * @param key the attempt
     */
    record Accepted(AttemptKey key) implements AttemptScoped {}

    /**
     * A chunk arrived.
     *
     * @param key the attempt
     * @param chunk the chunk
     */
    record ChunkReceived(AttemptKey key, TextChunk chunk) implements AttemptScoped {}

    /**
     * The attempt ended after it had started.
     *
     * @param key the attempt
     * @param result the result
     */
    record Finished(AttemptKey key, AttemptResult result) implements AttemptScoped {}

    /**
     * The agent confirmed that the attempt did not run and never will.
     *
     * @param key the attempt
     * @param incarnation the incarnation of the agent that confirmed it
     * @param reason why
     * @param retryAfterMillis time after which it may run, in milliseconds, 0 if unknown
     */
    record NotRun(AttemptKey key, long incarnation, NotRunReason reason, long retryAfterMillis)
            implements AttemptScoped {}

    /**
     * The attempt was certainly never handed to a connection.
     *
     * @param key the attempt
     */
    record NotSent(AttemptKey key) implements AttemptScoped {}

    /**
     * The connection to the agent was lost; a new one is being opened.
     *
     * @param key the attempt
     */
    record ConnectionLost(AttemptKey key) implements AttemptScoped {}

    /**
     * A new connection to the agent was opened.
     *
     * @param key the attempt
     * @param incarnation the incarnation of the agent
     */
    record Reconnected(AttemptKey key, long incarnation) implements AttemptScoped {}

    /**
     * Nothing was received about the attempt for longer than expected.
     *
     * @param key the attempt
     */
    record ReceiveTimeout(AttemptKey key) implements AttemptScoped {}

    /**
     * The agent answered a query.
     *
     * @param key the attempt
     * @param incarnation the incarnation of the agent that answered
     * @param state the state
     */
    record QueryAnswered(AttemptKey key, long incarnation, AttemptState state) implements AttemptScoped {}

    /**
     * The agent cannot continue the answer.
     *
     * @param key the attempt
     * @param incarnation the incarnation of the agent that answered
     * @param state the state of the attempt
     */
    record AttachFailed(AttemptKey key, long incarnation, AttemptState state) implements AttemptScoped {}

    /**
     * The agent is dead: no new connection succeeded in time.
     *
     * @param key the attempt
     */
    record AgentDead(AttemptKey key) implements AttemptScoped {}

    /**
     * No upstream is left for another attempt.
     *
     * @param retryAfterMillis time after which one may be, in milliseconds, 0 if unknown
     */
    record NoUpstream(long retryAfterMillis) implements AttemptEvent {}

    /** The deadline of the caller passed. */
    record DeadlineExceeded() implements AttemptEvent {}

    /** The time to wait for the result of a cancellation passed. */
    record CancelTimeout() implements AttemptEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected() implements AttemptEvent {}
}
