package io.oleandermoor.state.fleet;

import java.util.List;
import java.util.OptionalInt;

/**
 * A team with its API keys, priority and rate limit.
 *
 * @param name the name of the team
 * @param keys the API keys of the team
 * @param priority the priority of its requests, which overrides that of the route
 * @param ratePerSecond the number of tokens per second over all entries; 0 for no limit
 * @param burst the maximum number of tokens that may be consumed at once
 * @param defaultTokens the number of tokens charged for a request without a token count
 */
public record TeamLimits(
        String name, List<String> keys, OptionalInt priority, double ratePerSecond, double burst, long defaultTokens) {

    /** Copies the keys. */
    public TeamLimits {
        keys = List.copyOf(keys);
    }

    /** Returns whether the rate of the team is limited. */
    public boolean rateLimited() {
        return ratePerSecond > 0;
    }

    /**
     * Returns the number of tokens that a request is charged.
     *
     * @param declaredTokens the number of tokens declared by the caller, negative if it declared none
     */
    public long chargedTokens(long declaredTokens) {
        return declaredTokens >= 0 ? declaredTokens : defaultTokens;
    }
}
