package io.oleandermoor.state.fleet;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A team with its API keys, priority and rate limit.
 *
 * @param name the name of the team
 * @param keys the API keys of the team
 * @param priority the priority of its requests, which overrides that of the route
 * @param ratePerSecond the number of tokens per second over all entries; 0 for no limit
 * @param burst the maximum number of tokens that may be consumed at once
 * @param defaultTokens the number of tokens charged for a request without a token count
 * @param allowedRegions the regions in which requests may run; empty if they may run in all of them
 */
public record TeamLimits(
        String name,
        List<String> keys,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        long defaultTokens,
        Set<String> allowedRegions) {

    /** Copies the keys and regions. */
    public TeamLimits {
        keys = List.copyOf(keys);
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /** Creates a team whose requests may run in all regions. */
    public TeamLimits(
            String name,
            List<String> keys,
            OptionalInt priority,
            double ratePerSecond,
            double burst,
            long defaultTokens) {
        this(name, keys, priority, ratePerSecond, burst, defaultTokens, Set.of());
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
