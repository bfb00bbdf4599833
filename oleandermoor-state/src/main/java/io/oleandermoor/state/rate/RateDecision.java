package io.oleandermoor.state.rate;

/** Decision about one request for tokens. */
public sealed interface RateDecision {

    /**
     * The tokens are reserved.
     *
     * @param reservation the reservation, which the caller settles when the request has ended
     */
    record Granted(Reservation reservation) implements RateDecision {}

    /**
     * The entry does not hold enough tokens. The caller sends {@link RateClient#nextRequest} and reserves again when
     * the response has been accepted.
     *
     * @param missingTokens tokens that are missing
     */
    record AskOwner(long missingTokens) implements RateDecision {}

    /**
     * The team is at its limit, or the owner cannot be reached and the floor is exhausted.
     *
     * @param retryAfterMillis time after which the request can succeed
     */
    record Refused(long retryAfterMillis) implements RateDecision {}

    /**
     * The request exceeds the burst of the team and can never be granted.
     *
     * @param limitTokens maximum size of a request that can be granted, 0 for a team without a limit
     */
    record TooLarge(long limitTokens) implements RateDecision {}
}
