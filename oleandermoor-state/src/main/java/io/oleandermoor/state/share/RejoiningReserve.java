package io.oleandermoor.state.share;

/**
 * The tokens that other requests of a team leave to streams that are taken up: as many as those have lately lacked, so
 * nothing is kept where none come back or all go on. Times are monotonic. Not thread-safe.
 */
public final class RejoiningReserve {

    /** Time in which a past demand falls to the e-th part. */
    private static final double DECAY_MILLIS = 3_000;
    /** Part of the burst that is kept at most. */
    private static final double MAXIMUM_BURST_RATIO = 0.25;

    private double demandedTokens;
    private long demandMillis;

    /**
     * Records that a stream that is taken up is refused for lack of tokens.
     *
     * @param tokens the number of tokens that it asked for
     * @param burst the maximum number of tokens of the team
     * @param nowMillis the current time
     */
    public void recordRefusal(long tokens, double burst, long nowMillis) {
        demandedTokens = Math.min(burst * MAXIMUM_BURST_RATIO, demandedTokens(nowMillis) + tokens);
        demandMillis = nowMillis;
    }

    private double demandedTokens(long nowMillis) {
        return demandedTokens * Math.exp(-Math.max(0, nowMillis - demandMillis) / DECAY_MILLIS);
    }

    /**
     * Returns the number of tokens that another request leaves, which a full bucket always permits.
     *
     * @param burst the maximum number of tokens of the team
     * @param requestedTokens the number of tokens of the other request
     * @param nowMillis the current time
     */
    public long tokens(double burst, long requestedTokens, long nowMillis) {
        return (long) Math.max(0, Math.min(burst - requestedTokens, demandedTokens(nowMillis)));
    }
}
