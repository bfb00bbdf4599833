package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;

/** What an entry keeps for a team with recent demand. */
final class LocalTeam {

    /** Time after which the recent demand counts half. */
    private static final long HALF_LIFE_MILLIS = 500;

    private static final int LARGEST_SHIFT = 62;

    /**
     * Tokens held in advance as a multiple of the recent demand, which is about that of a second. They last beyond the
     * 5 s from the death of an owner until the floor can be used. With half a second of demand, 11% of the requests of
     * a team at a fifth of its rate were refused while owners died every 30 s.
     */
    private static final int ADVANCE_FACTOR = 6;

    final TeamName name;
    final TokenBucket local;
    RateLimit limit;
    long held;
    /** Sequence of the last request that reported this team. */
    long epoch;

    long localStartMillis;
    boolean queued;
    private long refusedUntilMillis;
    private long refusedTokens;
    private long askedLargest;
    private long needed;
    private long largest;
    private long credit;
    private long creditSinceMillis;
    private long recent;
    private long recentMillis;
    private long lastTokens;
    private long lastSpentMillis;

    LocalTeam(TeamName name, RateLimit limit, long epoch, long localStartMillis, long nowMillis) {
        this.name = name;
        this.limit = limit;
        this.epoch = epoch;
        this.localStartMillis = localStartMillis;
        this.local = new TokenBucket(0, 0, Math.min(localStartMillis, nowMillis));
        this.recentMillis = nowMillis;
        this.lastSpentMillis = nowMillis;
        this.refusedUntilMillis = nowMillis;
    }

    /** Records tokens taken from a grant, from which the size of grants in advance follows. */
    void noteSpent(long tokens, long nowMillis) {
        decay(nowMillis);
        recent += tokens;
        lastTokens = tokens;
        lastSpentMillis = nowMillis;
    }

    /** Records the answer to the largest request asked for. */
    void answered(long retryAfterMillis, long nowMillis) {
        if (askedLargest > 0) {
            refusedTokens = askedLargest;
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
    void need(long tokens) {
        needed += tokens;
        largest = Math.max(largest, tokens);
    }

    void clearNeed() {
        needed = 0;
        largest = 0;
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
        return nowMillis - lastSpentMillis >= RateSettings.IDLE_MILLIS;
    }

    /** Returns whether the tokens held are well below or above what the recent demand suggests. */
    boolean isUnbalanced(long nowMillis) {
        long target = target(nowMillis);
        return held < target / 2 || held > 2 * target;
    }

    /** Builds the demand and clears what it reports. */
    TeamDemand takeDemand(boolean ownerKnowsHeld, long nowMillis) {
        long target = target(nowMillis);
        long returned = 0;
        if (held > 2 * target && (needed == 0 || isIdle(nowMillis))) {
            returned = held - target;
            held = target;
        }
        long missing = Math.max(0, needed - held);
        long largestMissing = Math.max(0, largest - held);
        long wanted = Math.max(missing, needed + target - held);
        long credited = ownerKnowsHeld ? credit : 0;
        long age = credited == 0 ? 0 : nowMillis - creditSinceMillis;
        credit = 0;
        askedLargest = largest;
        clearNeed();
        return new TeamDemand(
                name, held, returned, credited, age, missing, largestMissing, isIdle(nowMillis) ? missing : wanted);
    }

    /** Builds the demand of an entry that asks a pool: it gives up all tokens and wants only what requests need. */
    TeamDemand takePoolDemand(long nowMillis) {
        long returned = held;
        long age = credit == 0 ? 0 : nowMillis - creditSinceMillis;
        TeamDemand demand = new TeamDemand(name, 0, returned, credit, age, needed, largest, needed);
        held = 0;
        credit = 0;
        askedLargest = largest;
        clearNeed();
        return demand;
    }

    private long target(long nowMillis) {
        if (isIdle(nowMillis)) {
            return 0;
        }
        decay(nowMillis);
        // A single request is no reason to hold tokens for another one.
        return recent > lastTokens ? recent * ADVANCE_FACTOR + lastTokens : 0;
    }

    private void decay(long nowMillis) {
        long steps = (nowMillis - recentMillis) / HALF_LIFE_MILLIS;
        if (steps > 0) {
            recent >>= Math.min(steps, LARGEST_SHIFT);
            recentMillis += steps * HALF_LIFE_MILLIS;
        }
    }
}
