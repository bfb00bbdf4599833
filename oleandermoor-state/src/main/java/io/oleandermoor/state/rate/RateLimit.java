package io.oleandermoor.state.rate;

/**
 * Rate and burst of a team over all entries.
 *
 * @param rate sustained rate in tokens per second, not negative
 * @param burst largest number of tokens that may be spent at once, not negative
 */
public record RateLimit(long rate, long burst) {

    /** Largest accepted rate and burst in tokens; keeps all sums in micro-tokens within a long. */
    public static final long MAXIMUM_TOKENS = 1_000_000_000L;

    /** Checks the ranges. */
    public RateLimit {
        if (rate < 0 || rate > MAXIMUM_TOKENS) {
            throw new IllegalArgumentException("rate must be in 0.." + MAXIMUM_TOKENS + ": " + rate);
        }
        if (burst < 0 || burst > MAXIMUM_TOKENS) {
            throw new IllegalArgumentException("burst must be in 0.." + MAXIMUM_TOKENS + ": " + burst);
        }
    }
}
