package io.oleandermoor.state.rate;

/**
 * Settings shared by rate owners and clients. All processes must use the same values.
 *
 * @param policy how entries obtain tokens
 * @param maximumEntries number of entries over which floors and fixed shares are divided; the deployment must not
 *     register more
 * @param validMillis longest validity of a session between an entry and an owner
 * @param marginMillis allowance for clock drift over a session or a lease
 * @param leaseMillis time to live of the owner's lease
 * @param floorRatePercent part of the rate that the floors of all entries use together
 * @param floorBurstPercent part of the burst that the floors of all entries use together; the largest request that can
 *     be granted is smaller than the burst by this part
 * @param outstandingPercent part of the burst up to which the owner grants tokens in advance of demand
 */
public record RateSettings(
        RatePolicy policy,
        int maximumEntries,
        long validMillis,
        long marginMillis,
        long leaseMillis,
        int floorRatePercent,
        int floorBurstPercent,
        int outstandingPercent) {

    /** Largest deviation of a clock's rate, in percent. Tokens accrue slower than configured by this part. */
    static final int CLOCK_TOLERANCE_PERCENT = 1;

    /** Time after which an unanswered request counts as lost. */
    static final long REQUEST_TIMEOUT_MILLIS = 400;

    /** Shortest time between two requests that no waiting caller needs. */
    static final long MINIMUM_REPORT_INTERVAL_MILLIS = 200;

    /**
     * Time without spending after which an entry returns the tokens of a team, so that a team with a request every two
     * seconds keeps the tokens for the next one while there is no owner.
     */
    static final long IDLE_TIMEOUT_MILLIS = 3_000;

    /** Time between two looks for idle teams. */
    static final long SWEEP_INTERVAL_MILLIS = 500;

    /**
     * Time in which an entry spends tokens of a pool. It asks only for requests that wait, so that a response in time
     * is spent at once; a later one counts as lost.
     */
    static final long POOL_TOKEN_VALIDITY_MILLIS = REQUEST_TIMEOUT_MILLIS;

    /** Checks the ranges. */
    public RateSettings {
        require(maximumEntries > 0, "maximumEntries must be positive: " + maximumEntries);
        require(validMillis > 0, "validMillis must be positive: " + validMillis);
        require(leaseMillis > validMillis, "leaseMillis must exceed validMillis: " + leaseMillis);
        // One clock may be 1% fast and the other 1% slow: 1.01 / 0.99 is below 1.021.
        require(
                marginMillis * 1_000 >= validMillis * 21,
                "marginMillis must be at least 2.1% of validMillis: " + marginMillis);
        requirePercent(floorRatePercent, "floorRatePercent");
        requirePercent(floorBurstPercent, "floorBurstPercent");
        requirePercent(outstandingPercent, "outstandingPercent");
    }

    /**
     * Returns the default settings: sessions of 4 s, a margin of 500 ms, a lease of 8 s, floors of 100% of the rate and
     * 5% of the burst, and grants in advance up to half of the burst. Floors of less than the whole rate would cost
     * teams the rest while there is no owner.
     *
     * @param maximumEntries the largest number of entries
     * @return settings for grants by an owner
     */
    public static RateSettings defaults(int maximumEntries) {
        return new RateSettings(RatePolicy.OWNER_GRANTS, maximumEntries, 4_000, 500, 8_000, 100, 5, 50);
    }

    /**
     * Returns these settings with another policy.
     *
     * @param other the policy
     * @return a copy
     */
    public RateSettings withPolicy(RatePolicy other) {
        return new RateSettings(
                other,
                maximumEntries,
                validMillis,
                marginMillis,
                leaseMillis,
                floorRatePercent,
                floorBurstPercent,
                outstandingPercent);
    }

    /** Returns the time between two requests that only keep the session; four fit in a session. */
    long keepAliveIntervalMillis() {
        return validMillis / 4;
    }

    /**
     * Returns the time between two requests that only keep a loan. A loan is counted from the request before the
     * confirmed one, so that three intervals must fit in it; some messages may be lost.
     */
    long poolKeepAliveIntervalMillis() {
        return validMillis / 8;
    }

    /**
     * Returns the time after the end of a loan, by the clock of the entry, in which the floor stays unused: the pool
     * may have granted tokens against the loan until its end.
     */
    long poolGraceMillis() {
        return 2 * marginMillis + POOL_TOKEN_VALIDITY_MILLIS;
    }

    /**
     * Returns how long a new process waits before it writes its registration. A process before it on the same instance
     * may have lent its floor immediately before it ended, and an owner that knows the new registration may suspend the
     * floor.
     *
     * @return milliseconds since the start of the process
     */
    public long registrationDelayMillis() {
        return validMillis + marginMillis;
    }

    private static void requirePercent(int value, String name) {
        require(value >= 0 && value <= 100, name + " must be in 0..100: " + value);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
