package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;

/** State of a team with recent demand in one entry. */
final class LocalTeamState {

    /** Interval after which the weight of earlier demand is halved. */
    private static final long DEMAND_HALF_LIFE_MILLIS = 500;

    private static final int MAXIMUM_SHIFT = 62;

    /**
     * Number of tokens held in advance as a multiple of the recent demand, which is about the demand of one second.
     * They last longer than the 5 s between the failure of an owner and the time when the floor becomes usable. With
     * half a second of demand, 11% of the requests of a team at a fifth of its rate were refused while owners failed
     * every 30 s.
     */
    private static final int PREFETCH_FACTOR = 6;

    final TeamName name;
    final TokenBucket localBucket;
    RateLimit limit;
    long heldTokens;
    /** Sequence number of the last request that reported this team or of the last discard of its held tokens. */
    long epoch;

    long localStartMillis;
    boolean reportQueued;
    private long refusedUntilMillis;
    private long refusedTokens;
    private long requestedLargestTokens;
    private long waitingTokens;
    private long largestWaitingTokens;
    private long creditTokens;
    private long creditSinceMillis;
    private long recentDemandTokens;
    private long recentDemandDecayedMillis;
    private long lastSpentTokens;
    private long lastSpentMillis;

    LocalTeamState(TeamName name, RateLimit limit, long epoch, long localStartMillis, long nowMillis) {
        this.name = name;
        this.limit = limit;
        this.epoch = epoch;
        this.localStartMillis = localStartMillis;
        this.localBucket = new TokenBucket(0, 0, Math.min(localStartMillis, nowMillis));
        this.recentDemandDecayedMillis = nowMillis;
        this.lastSpentMillis = nowMillis;
        this.refusedUntilMillis = nowMillis;
    }

    /** Records tokens spent from a grant; they determine how many tokens are held in advance. */
    void recordSpent(long tokens, long nowMillis) {
        decayRecentDemand(nowMillis);
        recentDemandTokens += tokens;
        lastSpentTokens = tokens;
        lastSpentMillis = nowMillis;
    }

    /** Records the answer to the largest request of the last report. */
    void recordAnswer(long retryAfterMillis, long nowMillis) {
        if (requestedLargestTokens > 0) {
            refusedTokens = requestedLargestTokens;
            refusedUntilMillis = nowMillis + retryAfterMillis;
        }
    }

    /** Returns the remaining time for which the owner has refused requests of this size, or 0 if it has not. */
    long retryAfterMillis(long tokens, long nowMillis) {
        return tokens >= refusedTokens ? Math.max(nowMillis, refusedUntilMillis) - nowMillis : 0;
    }

    /** Clears the refusals of the previous owner. */
    void clearRefusal() {
        refusedTokens = 0;
        refusedUntilMillis = Long.MIN_VALUE;
    }

    /** Adds a waiting request of this size to the next report. */
    void addWaiting(long tokens) {
        waitingTokens += tokens;
        largestWaitingTokens = Math.max(largestWaitingTokens, tokens);
    }

    void clearWaiting() {
        waitingTokens = 0;
        largestWaitingTokens = 0;
    }

    void addCredit(long tokens, long sinceMillis) {
        creditSinceMillis = creditTokens == 0 ? sinceMillis : Math.min(creditSinceMillis, sinceMillis);
        creditTokens += tokens;
    }

    /**
     * Returns whether no tokens have been spent for the idle timeout. Waiting requests do not prevent it: tokens that
     * are too few for them return to the owner, which may need them for a larger request in another entry.
     */
    boolean isIdle(long nowMillis) {
        return nowMillis - lastSpentMillis >= RateSettings.IDLE_TIMEOUT_MILLIS;
    }

    /** Returns whether the held tokens are less than half or more than twice the target for the recent demand. */
    boolean isOffTarget(long nowMillis) {
        long target = targetTokens(nowMillis);
        return heldTokens < target / 2 || heldTokens > 2 * target;
    }

    /** Builds the demand for an owner and clears the reported state. */
    TeamDemand takeDemand(boolean ownerKnowsHeld, long nowMillis) {
        long target = targetTokens(nowMillis);
        long returned = 0;
        if (heldTokens > 2 * target && (waitingTokens == 0 || isIdle(nowMillis))) {
            returned = heldTokens - target;
            heldTokens = target;
        }
        long missing = Math.max(0, waitingTokens - heldTokens);
        long largestMissing = Math.max(0, largestWaitingTokens - heldTokens);
        long wanted = Math.max(missing, waitingTokens + target - heldTokens);
        long credited = ownerKnowsHeld ? creditTokens : 0;
        long age = credited == 0 ? 0 : nowMillis - creditSinceMillis;
        creditTokens = 0;
        requestedLargestTokens = largestWaitingTokens;
        clearWaiting();
        return new TeamDemand(
                name,
                heldTokens,
                returned,
                credited,
                age,
                missing,
                largestMissing,
                isIdle(nowMillis) ? missing : wanted);
    }

    /** Builds the demand for a pool: returns all held tokens and wants only what waiting requests need. */
    TeamDemand takePoolDemand(long nowMillis) {
        long returned = heldTokens;
        long age = creditTokens == 0 ? 0 : nowMillis - creditSinceMillis;
        TeamDemand demand = new TeamDemand(
                name, 0, returned, creditTokens, age, waitingTokens, largestWaitingTokens, waitingTokens);
        heldTokens = 0;
        creditTokens = 0;
        requestedLargestTokens = largestWaitingTokens;
        clearWaiting();
        return demand;
    }

    private long targetTokens(long nowMillis) {
        if (isIdle(nowMillis)) {
            return 0;
        }
        decayRecentDemand(nowMillis);
        // A single request does not justify holding tokens for another one.
        return recentDemandTokens > lastSpentTokens ? recentDemandTokens * PREFETCH_FACTOR + lastSpentTokens : 0;
    }

    private void decayRecentDemand(long nowMillis) {
        long steps = (nowMillis - recentDemandDecayedMillis) / DEMAND_HALF_LIFE_MILLIS;
        if (steps > 0) {
            recentDemandTokens >>= Math.min(steps, MAXIMUM_SHIFT);
            recentDemandDecayedMillis += steps * DEMAND_HALF_LIFE_MILLIS;
        }
    }
}
