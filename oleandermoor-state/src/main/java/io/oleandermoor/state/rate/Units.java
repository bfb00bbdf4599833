package io.oleandermoor.state.rate;

/** Conversions between tokens and micro-tokens. Integer micro-tokens keep all sums exact. */
final class Units {

    private static final long MICRO_PER_TOKEN = 1_000_000L;

    private Units() {}

    static long micro(long tokens) {
        return tokens * MICRO_PER_TOKEN;
    }

    /** Returns whole tokens, rounded down. */
    static long tokens(long micro) {
        return micro / MICRO_PER_TOKEN;
    }

    /**
     * Returns the accrual in micro-tokens per millisecond. It is reduced by the clock tolerance, so that a fast clock
     * does not exceed the configured rate.
     */
    static long accrual(long tokensPerSecond) {
        return tokensPerSecond * 10L * (100 - RateSettings.CLOCK_TOLERANCE_PERCENT);
    }
}
