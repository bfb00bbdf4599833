package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.UpstreamId;
import java.util.Optional;
import java.util.Set;

/** Next action of an entry for a caller request. */
public sealed interface AttemptDecision {

    /** Waits for the next event. */
    record Await() implements AttemptDecision {}

    /**
     * Forwards text to the caller.
     *
     * @param chunk the chunk to forward
     */
    record Forward(TextChunk chunk) implements AttemptDecision {}

    /**
     * Drops a message.
     *
     * @param reason the reason why the message is dropped
     */
    record Drop(DropReason reason) implements AttemptDecision {}

    /**
     * Queries the agent for the state of an attempt.
     *
     * @param key the key of the attempt
     */
    record Query(AttemptKey key) implements AttemptDecision {}

    /**
     * Attaches to an attempt, so that the agent continues its answer.
     *
     * @param key the key of the attempt
     * @param offset the number of tokens that the caller has received
     */
    record Attach(AttemptKey key, int offset) implements AttemptDecision {}

    /**
     * Chooses another upstream and sends a new attempt to it.
     *
     * @param cancelled the previous attempt to cancel, empty if it has ended
     * @param excluded the upstreams that were already tried
     * @param resumeOffset the number of tokens that the caller has received
     */
    record Retry(Optional<AttemptKey> cancelled, Set<UpstreamId> excluded, int resumeOffset)
            implements AttemptDecision {}

    /**
     * Cancels an attempt at its agent.
     *
     * @param key the key of the attempt
     */
    record Cancel(AttemptKey key) implements AttemptDecision {}

    /**
     * Replies to the caller and ends the request.
     *
     * @param outcome whether the request ran, as far as known
     * @param reason the reason why the request ends
     * @param result the result of the upstream, empty if there is none
     * @param retryAfterMillis the delay after which the caller may retry, in milliseconds; 0 if unknown
     */
    record Reply(Outcome outcome, ReplyReason reason, Optional<AttemptResult> result, long retryAfterMillis)
            implements AttemptDecision {}

    /** Reason why a message is dropped. */
    enum DropReason {
        /** The message belongs to an attempt that is not the current one. */
        FOREIGN,
        /** The text was already forwarded to the caller. */
        REPEATED,
        /** Preceding text is missing and was requested from the agent. */
        GAP,
        /** The request has ended. */
        ENDED
    }

    /** Reason why a request ends. */
    enum ReplyReason {
        /** The answer is complete. */
        COMPLETE,
        /** The request was refused. */
        REFUSED,
        /** No upstream is available. */
        NO_UPSTREAM,
        /** The deadline was exceeded. */
        DEADLINE,
        /** The upstream failed. */
        FAILED,
        /** The connection to the agent, or the rest of the answer, was lost. */
        LOST,
        /** The caller closed its connection. */
        CALLER_GONE
    }
}
