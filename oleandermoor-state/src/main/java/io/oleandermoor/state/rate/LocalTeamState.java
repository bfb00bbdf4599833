package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;

/** What an entry keeps for a team with recent demand. */
final class LocalTeamState {

    /** Time after which the recent demand counts half. */
    private static final long DEMAND_HALF_LIFE_MILLIS = 500;

    private static final int MAXIMUM_SHIFT = 62;

    /**
     * Tokens held in advance as a multiple of the recent demand, which is about that of a second. They last beyond the
     * 5 s from the death of an owner until the floor can be used. With half a second of demand, 11% of the requests of
     * a team at a fifth of its rate were refused while owners died every 30 s.
     */
    private static final int PREFETCH_FACTOR = 6;

    final TeamName name;
    final TokenBucket localBucket;
    RateLimit limit;
    long heldTokens;
    /** Sequence of the last request that reported this team. */
    long epoch;

    long localStartMillis;
    boolean reportQueued;
    private long refusedUntilMillis;
    private long refusedTokens;
    private long requestedLargestTokens;
    private long waitingTokens;
    private long largestWaitingTokens;
    private long credit;
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

    /** Records tokens taken from a grant, from which the size of grants in advance follows. */
    void recordSpent(long tokens, long nowMillis) {
        decayRecentDemand(nowMillis);
        recentDemandTokens += tokens;
        lastSpentTokens = tokens;
        lastSpentMillis = nowMillis;
    }

    /** Records the answer to the largest request asked for. */
    void recordAnswer(long retryAfterMillis, long nowMillis) {
        if (requestedLargestTokens > 0) {
            refusedTokens = requestedLargestTokens;
            refusedUntilMillis = nowMillis + retryAfterMillis;
        }
    }

    /** Returns the time for which the owner has refused a request of this size; 0 if it has not. */
    long retryAfterMillis(long tokens, long nowMillis) {
        return tokens >= refusedTokens ? Math.max(nowMillis, refusedUntilMillis) - nowMillis : 0;
    }

    /** Forgets the refusals of an owner that is replaced. */
    void clearRefusal() {
        refusedTokens = 0;
        refusedUntilMillis = Long.MIN_VALUE;
    }

    /** Records that a request of this size waits. */
    void addWaiting(long tokens) {
        waitingTokens += tokens;
        largestWaitingTokens = Math.max(largestWaitingTokens, tokens);
    }

    void clearWaiting() {
        waitingTokens = 0;
        largestWaitingTokens = 0;
    }

    void credit(long tokens, long sinceMillis) {
        creditSinceMillis = credit == 0 ? sinceMillis : Math.min(creditSinceMillis, sinceMillis);
        credit += tokens;
    }

    /**
     * Returns whether nothing has been spent for a while. Requests that wait do not count, so that tokens too few for
     * them return to the owner, which may need them for a larger request elsewhere.
     */
    boolean isIdle(long nowMillis) {
        return nowMillis - lastSpentMillis >= RateSettings.IDLE_TIMEOUT_MILLIS;
    }

    /** Returns whether the tokens held are well below or above what the recent demand suggests. */
    boolean isOffTarget(long nowMillis) {
        long target = targetTokens(nowMillis);
        return heldTokens < target / 2 || heldTokens > 2 * target;
    }

    /** Builds the demand and clears what it reports. */
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
        long credited = ownerKnowsHeld ? credit : 0;
        long age = credited == 0 ? 0 : nowMillis - creditSinceMillis;
        credit = 0;
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

    /** Builds the demand of an entry that asks a pool: it gives up all tokens and wants only what requests need. */
    TeamDemand takePoolDemand(long nowMillis) {
        long returned = heldTokens;
        long age = credit == 0 ? 0 : nowMillis - creditSinceMillis;
        TeamDemand demand =
                new TeamDemand(name, 0, returned, credit, age, waitingTokens, largestWaitingTokens, waitingTokens);
        heldTokens = 0;
        credit = 0;
        requestedLargestTokens = largestWaitingTokens;
        clearWaiting();
        return demand;
    }

    private long targetTokens(long nowMillis) {
        if (isIdle(nowMillis)) {
            return 0;
        }
        decayRecentDemand(nowMillis);
        // A single request is no reason to hold tokens for another one.
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
