package io.oleandermoor.state.fleet;

import java.util.List;
import java.util.OptionalInt;

/**
 * A team with its keys and its rate.
 *
 * @param name the name of the team
 * @param keys the keys that callers of the team present
 * @param priority the rank of its requests, in place of that of the route
 * @param ratePerSecond the tokens per second over all entries; 0 for no limit
 * @param burst the tokens that may be spent at once
 * @param defaultTokens the tokens as which a request without a token count is counted
 */
public record TeamLimits(
        String name, List<String> keys, OptionalInt priority, double ratePerSecond, double burst, long defaultTokens) {

    /** Copies the keys. */
    public TeamLimits {
        keys = List.copyOf(keys);
    }

    /** Returns whether the team has a rate. */
    public boolean rateLimited() {
        return ratePerSecond > 0;
    }

    /**
     * Returns the tokens that a request counts for.
     *
     * @param tokens the tokens that the caller stated, or a negative number if it stated none
     */
    public long chargedTokens(long tokens) {
        return tokens >= 0 ? tokens : defaultTokens;
    }
}
