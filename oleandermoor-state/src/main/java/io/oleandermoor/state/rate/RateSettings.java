package io.oleandermoor.state.rate;

/**
 * Settings shared by rate owners and clients. All processes must use the same values.
 *
 * @param policy how entries obtain tokens
 * @param maximumEntries maximum number of entries that the deployment may register; floors and fixed shares are divided
 *     by it
 * @param validMillis maximum validity of a session between an entry and an owner
 * @param marginMillis allowance for clock drift over a session or a lease
 * @param leaseMillis time to live of the owner's lease
 * @param floorRatePercent percentage of the rate that the floors of all entries use together
 * @param floorBurstPercent percentage of the burst that the floors of all entries use together; the maximum request
 *     that can be granted is smaller than the burst by this percentage
 * @param outstandingPercent percentage of the burst up to which the owner grants tokens ahead of demand
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

    /** Maximum deviation of a clock's rate, in percent. Tokens accrue slower than configured by this percentage. */
    static final int CLOCK_TOLERANCE_PERCENT = 1;

    /** Time after which an unanswered request is treated as lost. */
    static final long REQUEST_TIMEOUT_MILLIS = 400;

    /** Minimum interval between two requests while no caller waits. */
    static final long MINIMUM_REPORT_INTERVAL_MILLIS = 200;

    /**
     * Time without spending after which an entry returns the tokens of a team. A team with one request every two
     * seconds keeps tokens for the next one while there is no owner.
     */
    static final long IDLE_TIMEOUT_MILLIS = 3_000;

    /** Interval between two checks for idle teams. */
    static final long SWEEP_INTERVAL_MILLIS = 500;

    /**
     * Time during which an entry may spend tokens of a pool. It requests them only for waiting requests, so tokens of a
     * timely response are spent immediately; a later response is treated as lost.
     */
    static final long POOL_TOKEN_VALIDITY_MILLIS = REQUEST_TIMEOUT_MILLIS;

    /** Validates the ranges of the settings. */
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
     * 5% of the burst, and grants ahead of demand up to half of the burst. Floors of less than the whole rate would
     * keep teams from using the rest while there is no owner.
     *
     * @param maximumEntries the maximum number of registered entries
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

    /** Returns the interval between two requests that only keep the session alive; four intervals fit in a session. */
    long keepAliveIntervalMillis() {
        return validMillis / 4;
    }

    /**
     * Returns the interval between two requests that only keep a contribution to a pool alive. A contribution is
     * measured from the request before the confirmed one, so three intervals must fit in it; the remaining time allows
     * for lost messages.
     */
    long poolKeepAliveIntervalMillis() {
        return validMillis / 8;
    }

    /**
     * Returns the time, by the clock of the entry, during which the floor stays unused after the end of a contribution:
     * the pool may have granted tokens against the contribution until its end.
     */
    long poolGraceMillis() {
        return 2 * marginMillis + POOL_TOKEN_VALIDITY_MILLIS;
    }

    /**
     * Returns how long a new process waits before it writes its registration. The previous process on the same instance
     * may have contributed its floor to a pool immediately before it ended, and an owner that knows the new
     * registration may suspend the floor.
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
