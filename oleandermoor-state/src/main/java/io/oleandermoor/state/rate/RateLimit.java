package io.oleandermoor.state.rate;

/**
 * Token rate limit of a team across all entries.
 *
 * @param rate sustained rate in tokens per second, not negative
 * @param burst maximum number of tokens that may be spent at once, not negative
 */
public record RateLimit(long rate, long burst) {

    /** Maximum rate and burst in tokens; keeps all sums in micro-tokens within the range of a long. */
    public static final long MAXIMUM_TOKENS = 1_000_000_000L;

    /** Validates the ranges of rate and burst. */
    public RateLimit {
        if (rate < 0 || rate > MAXIMUM_TOKENS) {
            throw new IllegalArgumentException("rate must be in 0.." + MAXIMUM_TOKENS + ": " + rate);
        }
        if (burst < 0 || burst > MAXIMUM_TOKENS) {
            throw new IllegalArgumentException("burst must be in 0.." + MAXIMUM_TOKENS + ": " + burst);
        }
    }
}
