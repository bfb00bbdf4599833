package io.oleandermoor.state.rate;

/** Conversions between tokens and micro-tokens. Integer micro-tokens keep all sums exact. */
final class TokenUnits {

    private static final long MICRO_TOKENS_PER_TOKEN = 1_000_000L;

    private TokenUnits() {}

    static long toMicroTokens(long tokens) {
        return tokens * MICRO_TOKENS_PER_TOKEN;
    }

    /** Returns whole tokens, rounded down. */
    static long toWholeTokens(long micro) {
        return micro / MICRO_TOKENS_PER_TOKEN;
    }

    /**
     * Returns the accrual in micro-tokens per millisecond. It is reduced by the clock tolerance, so that an entry or
     * owner with a fast clock does not exceed the configured rate.
     */
    static long toMicroTokensPerMillis(long tokensPerSecond) {
        return tokensPerSecond * 10L * (100 - RateSettings.CLOCK_TOLERANCE_PERCENT);
    }
}
