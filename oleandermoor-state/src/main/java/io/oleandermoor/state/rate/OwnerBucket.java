package io.oleandermoor.state.rate;

/**
 * Bucket of one team at the rate owner. The level, the tokens granted and not yet known to be spent (outstanding), and
 * the largest content of all floors together never exceed the burst. Because every spent token leaves this sum and the
 * sum grows at most at the rate, spending in any interval of length t is at most rate·t + burst. The part of the burst
 * for floors is reserved also while they are suspended, since a floor can come into use while all other tokens are
 * outstanding.
 *
 * <p>Tokens that a settled request did not use are credited only as far as they would still be in the bucket had the
 * request never reserved them: up to the smallest gap between the sum and the burst since the reservation.
 */
final class OwnerBucket {

    private final BucketSource source;
    private RateLimit limit;
    private long floorRate;
    private long floorBurst;
    private int floorsReserved;
    private final TokenBucket bucket;
    private final long createdMillis;
    private final HeadroomHistory headroomHistory = new HeadroomHistory();
    private long outstandingMicro;
    private long claimMicro;
    private long claimSetAsideMicro;
    private long claimUntilMillis;
    private long claimUpdatedMillis;

    OwnerBucket(BucketSource source, RateLimit limit, long nowMillis) {
        this.source = source;
        this.limit = limit;
        this.bucket = new TokenBucket(0, 0, nowMillis);
        this.createdMillis = nowMillis;
        this.claimUpdatedMillis = nowMillis;
    }

    /**
     * Sets the limit, the rate and burst of one floor, the number of floors whose burst is reserved, and the number of
     * floors that count.
     */
    void configure(
            RateLimit newLimit, long newFloorRate, long newFloorBurst, int reserved, int floors, long nowMillis) {
        advance(nowMillis);
        limit = newLimit;
        floorRate = newFloorRate;
        floorBurst = newFloorBurst;
        floorsReserved = reserved;
        updateRateAndCapacity(floors, nowMillis);
    }

    /** Accrues up to the time given. */
    void advance(long nowMillis) {
        bucket.advance(nowMillis);
        // The sum only grows between two calls, so its gap is smallest here, before anything is taken.
        headroomHistory.add(nowMillis, bucket.capacityMicro() - bucket.levelMicro());
        if (claimMicro > 0 && nowMillis >= claimUntilMillis) {
            claimMicro = 0;
            claimSetAsideMicro = 0;
        } else if (claimMicro > 0 && nowMillis > claimUpdatedMillis) {
            long half = TokenUnits.toMicroTokensPerMillis(limit.rate()) / 2 * (nowMillis - claimUpdatedMillis);
            claimSetAsideMicro = Math.min(claimMicro, claimSetAsideMicro + half);
        }
        claimUpdatedMillis = Math.max(claimUpdatedMillis, nowMillis);
    }

    /** Adapts rate and capacity to the number of floors that count and to the outstanding tokens. */
    void updateRateAndCapacity(int floors, long nowMillis) {
        long rate = source.rate(limit, floorRate, floors);
        long burst = source.burst(limit, floorBurst, floorsReserved, floors);
        bucket.configure(Math.max(0, rate), Math.max(0, burst - outstandingMicro), nowMillis);
    }

    /** Moves tokens from the level to the outstanding ones; the caller has checked the level. */
    void grant(long micro, int floors, long nowMillis) {
        if (!bucket.tryTake(micro)) {
            throw new IllegalStateException("grant exceeds the level");
        }
        outstandingMicro += micro;
        updateRateAndCapacity(floors, nowMillis);
    }

    /** Moves outstanding tokens that can no longer be spent back to the level. */
    void returnUnspent(long micro, int floors, long nowMillis) {
        recordSpent(micro, floors, nowMillis);
        bucket.giveBack(micro);
    }

    /** Removes outstanding tokens that are spent or may have been spent. */
    void recordSpent(long micro, int floors, long nowMillis) {
        outstandingMicro -= micro;
        updateRateAndCapacity(floors, nowMillis);
    }

    /** Credits tokens reserved at or after the time given and not used. */
    void creditUnused(long micro, long sinceMillis) {
        if (sinceMillis >= createdMillis) {
            bucket.giveBack(headroomHistory.consume(micro, sinceMillis));
        }
    }

    /** Returns the part of the level that a request of this size may use. */
    long available(long sizeMicro) {
        return sizeMicro >= claimMicro ? bucket.levelMicro() : Math.max(0, bucket.levelMicro() - claimSetAsideMicro);
    }

    /** Returns how much may still be granted in advance of demand. */
    long prefetchCapacity(int outstandingPercent) {
        if (claimMicro > 0 || !source.allowsPrefetch()) {
            return 0;
        }
        return TokenUnits.toMicroTokens(limit.burst()) / 100 * outstandingPercent - outstandingMicro;
    }

    /** Sets tokens aside for a request of this size until the time given. */
    void startClaim(long sizeMicro, long untilMillis) {
        if (!source.allowsClaims() || sizeMicro < claimMicro) {
            return;
        }
        // A claim starts from the whole level, which was not enough for it.
        claimSetAsideMicro = Math.max(claimSetAsideMicro, bucket.levelMicro());
        claimMicro = sizeMicro;
        claimUntilMillis = Math.max(claimUntilMillis, untilMillis);
    }

    /** Ends the claim if a request of this size has been granted. */
    void endClaim(long sizeMicro) {
        if (sizeMicro >= claimMicro) {
            claimMicro = 0;
            claimSetAsideMicro = 0;
        }
    }

    /** Returns the time until the level covers the amount; {@link Long#MAX_VALUE} if outstanding tokens prevent it. */
    long millisUntil(long micro) {
        return bucket.millisUntil(micro);
    }

    /** Returns the time in which the rate accrues the amount. */
    long accrualMillis(long micro) {
        return micro / Math.max(1, TokenUnits.toMicroTokensPerMillis(limit.rate())) + 1;
    }

    long outstandingMicro() {
        return outstandingMicro;
    }

    RateLimit limit() {
        return limit;
    }
}
