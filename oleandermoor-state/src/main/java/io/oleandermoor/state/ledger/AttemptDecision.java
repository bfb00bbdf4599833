package io.oleandermoor.state.ledger;

import io.oleandermoor.state.identity.UpstreamId;
import java.util.Optional;
import java.util.Set;

/** What an entry does next for the request of a caller. */
public sealed interface AttemptDecision {

    /** Nothing until the next event. */
    record Await() implements AttemptDecision {}

    /**
     * Sends text to the caller.
     *
     * @param chunk the text
     */
    record Forward(TextChunk chunk) implements AttemptDecision {}

    /**
     * Ignores a message.
     *
     * @param reason why
     */
    record Drop(DropReason reason) implements AttemptDecision {}

    /**
     * Asks the agent what became of an attempt.
     *
     * @param key the attempt
     */
    record Query(AttemptKey key) implements AttemptDecision {}

    /**
     * Asks the agent to continue an attempt.
     *
     * @param key the attempt
     * @param offset number of tokens that the caller has
     */
    record Attach(AttemptKey key, int offset) implements AttemptDecision {}

    /**
     * Chooses an upstream and sends another attempt there.
     *
     * @param cancelled an earlier attempt to cancel, empty if it has ended
     * @param excluded upstreams that were tried
     * @param resumeOffset number of tokens that the caller has
     */
    record Retry(Optional<AttemptKey> cancelled, Set<UpstreamId> excluded, int resumeOffset)
            implements AttemptDecision {}

    /**
     * Cancels an attempt.
     *
     * @param key the attempt
     */
    record Cancel(AttemptKey key) implements AttemptDecision {}

    /**
     * Answers the caller and ends the request.
     *
     * @param outcome what is known about whether the request ran
     * @param reason why the request ends
     * @param result the result of the upstream, empty if there is none
     * @param retryAfterMillis time after which the caller may try again, in milliseconds, 0 if unknown
     */
    record Reply(Outcome outcome, ReplyReason reason, Optional<AttemptResult> result, long retryAfterMillis)
            implements AttemptDecision {}

    /** Why a message is ignored. */
    enum DropReason {
        /** It belongs to an attempt that is not the current one. */
        FOREIGN,
        /** The caller has the text already. */
        REPEATED,
        /** Text before it is missing and has been asked for. */
        GAP,
        /** The request has ended. */
        ENDED
    }

    /** Why a request ends. */
    enum ReplyReason {
        /** The answer is complete. */
        COMPLETE,
        /** The request was refused. */
        REFUSED,
        /** No upstream is left. */
        NO_UPSTREAM,
        /** The deadline passed. */
        DEADLINE,
        /** The upstream failed. */
        FAILED,
        /** The agent or the rest of the answer was lost. */
        LOST,
        /** The caller closed its connection. */
        CALLER_GONE
    }
}
