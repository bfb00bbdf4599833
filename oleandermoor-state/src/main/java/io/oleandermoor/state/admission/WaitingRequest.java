package io.oleandermoor.state.admission;

import io.oleandermoor.state.identity.TeamName;

/**
 * A request that waits for a slot of an upstream.
 *
 * @param key key of the request and its attempt, unique among waiting and running requests
 * @param team the team to which the tokens are charged
 * @param weight weight of the team, positive, for example its rate in tokens per second
 * @param requestClass live or batch
 * @param tokens upper bound of the tokens of the request, positive
 * @param deadline time by which the request must start
 * @param <K> type of the key
 */
public record WaitingRequest<K>(
        K key, TeamName team, long weight, RequestClass requestClass, long tokens, Deadline deadline) {

    /**
     * Maximum of both the weight and the number of tokens; keeps the virtual token counters within the range of a long.
     */
    public static final long MAXIMUM_WEIGHT_OR_TOKENS = 1_000_000_000L;

    /** Validates the ranges of weight and tokens. */
    public WaitingRequest {
        if (weight <= 0 || weight > MAXIMUM_WEIGHT_OR_TOKENS) {
            throw new IllegalArgumentException("weight must be in 1.." + MAXIMUM_WEIGHT_OR_TOKENS + ": " + weight);
        }
        if (tokens <= 0 || tokens > MAXIMUM_WEIGHT_OR_TOKENS) {
            throw new IllegalArgumentException("tokens must be in 1.." + MAXIMUM_WEIGHT_OR_TOKENS + ": " + tokens);
        }
    }
}
