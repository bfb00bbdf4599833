package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.identity.TeamName;
import java.util.function.Consumer;

/** Limits the tokens of teams over all entries. Safe for use by several threads. */
interface TokenService {

    /**
     * Takes tokens for a request.
     *
     * @param team the team
     * @param tokens the most tokens that the request may use
     * @param answer receives the decision once, on any thread, possibly before this method returns
     */
    void reserve(TeamName team, long tokens, Consumer<TokenDecision> answer);

    /** Whether a request may use its tokens. */
    sealed interface TokenDecision {

        /**
         * The tokens are taken.
         *
         * @param settle called once with the number of tokens that were used
         */
        record Granted(Consumer<Long> settle) implements TokenDecision {}

        /**
         * The team is over its rate.
         *
         * @param retryAfterMillis when the tokens will be there
         */
        record OverRate(long retryAfterMillis) implements TokenDecision {}

        /**
         * The request needs more tokens than can ever be granted at once.
         *
         * @param largest the largest number
         */
        record TooLarge(long largest) implements TokenDecision {}
    }
}
