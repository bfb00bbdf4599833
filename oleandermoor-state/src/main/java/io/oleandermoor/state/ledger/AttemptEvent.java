package io.oleandermoor.state.ledger;

/** Event that concerns a caller request at an entry. Events about a single attempt carry its key. */
public sealed interface AttemptEvent {

    /** Event about one attempt. It is ignored unless that attempt is the current one. */
    sealed interface AttemptScoped extends AttemptEvent {

        /**
         * Returns the key of the attempt.
         *
         * @return the attempt key
         */
        AttemptKey key();
    }

    /**
     * The agent accepted the attempt.
     *
     * @param key the key of the attempt
     */
    record Accepted(AttemptKey key) implements AttemptScoped {}

    /**
     * A chunk of the streamed answer was received.
     *
     * @param key the key of the attempt
     * @param chunk the received chunk
     */
    record ChunkReceived(AttemptKey key, TextChunk chunk) implements AttemptScoped {}

    /**
     * The attempt started and has ended.
     *
     * @param key the key of the attempt
     * @param result the result of the attempt
     */
    record Finished(AttemptKey key, AttemptResult result) implements AttemptScoped {}

    /**
     * The agent confirmed that the attempt did not run and never will.
     *
     * @param key the key of the attempt
     * @param incarnation the incarnation of the agent that confirmed it
     * @param reason the reason why the attempt did not run
     * @param retryAfterMillis the delay after which a retry may succeed, in milliseconds; 0 if unknown
     */
    record NotRun(AttemptKey key, long incarnation, NotRunReason reason, long retryAfterMillis)
            implements AttemptScoped {}

    /**
     * The attempt was never handed to a connection, so the agent cannot have received it.
     *
     * @param key the key of the attempt
     */
    record NotSent(AttemptKey key) implements AttemptScoped {}

    /**
     * The connection to the agent was lost; a new one is being opened.
     *
     * @param key the key of the attempt
     */
    record ConnectionLost(AttemptKey key) implements AttemptScoped {}

    /**
     * A new connection to the agent was opened.
     *
     * @param key the key of the attempt
     * @param incarnation the incarnation of the agent
     */
    record Reconnected(AttemptKey key, long incarnation) implements AttemptScoped {}

    /**
     * No message about the attempt was received within the expected time.
     *
     * @param key the key of the attempt
     */
    record ReceiveTimeout(AttemptKey key) implements AttemptScoped {}

    /**
     * The agent answered a query for the state of the attempt.
     *
     * @param key the key of the attempt
     * @param incarnation the incarnation of the agent that answered
     * @param state the state of the attempt
     */
    record QueryAnswered(AttemptKey key, long incarnation, AttemptState state) implements AttemptScoped {}

    /**
     * The agent cannot continue the answer from the requested offset.
     *
     * @param key the key of the attempt
     * @param incarnation the incarnation of the agent that answered
     * @param state the state of the attempt
     */
    record AttachFailed(AttemptKey key, long incarnation, AttemptState state) implements AttemptScoped {}

    /**
     * The agent is considered dead, because no new connection could be opened in time.
     *
     * @param key the key of the attempt
     */
    record AgentDead(AttemptKey key) implements AttemptScoped {}

    /**
     * No upstream is available for another attempt.
     *
     * @param retryAfterMillis the delay after which an upstream may be available, in milliseconds; 0 if unknown
     */
    record NoUpstream(long retryAfterMillis) implements AttemptEvent {}

    /** The deadline of the caller was exceeded. */
    record DeadlineExceeded() implements AttemptEvent {}

    /** The wait for the result of a cancellation timed out. */
    record CancelTimeout() implements AttemptEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected() implements AttemptEvent {}
}
