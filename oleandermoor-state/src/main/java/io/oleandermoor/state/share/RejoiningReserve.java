package io.oleandermoor.state.share;

/**
 * The tokens that new streams of a team leave to streams that are taken up: as many as those have lately asked for, so
 * nothing is kept where none come back. Times are monotonic. Not thread-safe.
 */
public final class RejoiningReserve {

    /** Time in which a past demand falls to the e-th part. */
    private static final double DECAY_MILLIS = 2_000;
    /** Part of the burst that is kept at most. */
    private static final double MAXIMUM_BURST_RATIO = 0.25;

    private double demandedTokens;
    private long demandMillis;

    /**
     * Records that a stream that is taken up asks for tokens, whether it gets them or not.
     *
     * @param tokens the number of tokens
     * @param nowMillis the current time
     */
    public void recordDemand(long tokens, long nowMillis) {
        demandedTokens = demandedTokens(nowMillis) + tokens;
        demandMillis = nowMillis;
    }

    private double demandedTokens(long nowMillis) {
        return demandedTokens * Math.exp(-Math.max(0, nowMillis - demandMillis) / DECAY_MILLIS);
    }

    /**
     * Returns the number of tokens that new streams leave.
     *
     * @param burst the maximum number of tokens of the team
     * @param nowMillis the current time
     */
    public long tokens(double burst, long nowMillis) {
        return (long) Math.min(burst * MAXIMUM_BURST_RATIO, demandedTokens(nowMillis));
    }
}
