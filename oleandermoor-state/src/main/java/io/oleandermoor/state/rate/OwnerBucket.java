package io.oleandermoor.state.rate;

/**
 * Bucket of one team at the rate owner. The sum of the level, the outstanding tokens (granted and not yet known to be
 * spent) and the maximum content of all floors never exceeds the burst. Every spent token leaves this sum, and the sum
 * grows at most at the rate, so spending in any interval of length t is at most rate·t + burst. The part of the burst
 * for floors stays reserved while they are suspended, because a floor can come into use while all other tokens are
 * outstanding.
 *
 * <p>Tokens that a settled request did not use are credited only as far as they would still be in the bucket without
 * the reservation: up to the minimum headroom, the burst minus the sum, since the reservation.
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
     * floors in use or contributed to a pool.
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

    /** Accrues tokens up to the given time. */
    void advance(long nowMillis) {
        bucket.advance(nowMillis);
        // The sum only grows between two calls, so the headroom is smallest here, before any tokens are taken.
        headroomHistory.add(nowMillis, bucket.capacityMicro() - bucket.levelMicro());
        if (claimMicro > 0 && nowMillis >= claimUntilMillis) {
            claimMicro = 0;
            claimSetAsideMicro = 0;
        } else if (claimMicro > 0 && nowMillis > claimUpdatedMillis) {
            long halfAccrual = TokenUnits.toMicroTokensPerMillis(limit.rate()) / 2 * (nowMillis - claimUpdatedMillis);
            claimSetAsideMicro = Math.min(claimMicro, claimSetAsideMicro + halfAccrual);
        }
        claimUpdatedMillis = Math.max(claimUpdatedMillis, nowMillis);
    }

    /** Updates rate and capacity for the number of floors in use or contributed and the outstanding tokens. */
    void updateRateAndCapacity(int floors, long nowMillis) {
        long rate = source.rate(limit, floorRate, floors);
        long burst = source.burst(limit, floorBurst, floorsReserved, floors);
        bucket.configure(Math.max(0, rate), Math.max(0, burst - outstandingMicro), nowMillis);
    }

    /** Moves tokens from the level to the outstanding tokens. The caller must have checked the level. */
    void grant(long micro, int floors, long nowMillis) {
        if (!bucket.tryTake(micro)) {
            throw new IllegalStateException("grant exceeds the bucket level");
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

    /** Credits unused tokens that were reserved at or after the given time. */
    void creditUnused(long micro, long sinceMillis) {
        if (sinceMillis >= createdMillis) {
            bucket.giveBack(headroomHistory.consume(micro, sinceMillis));
        }
    }

    /** Returns the part of the level that is available to a request of this size. */
    long available(long sizeMicro) {
        return sizeMicro >= claimMicro ? bucket.levelMicro() : Math.max(0, bucket.levelMicro() - claimSetAsideMicro);
    }

    /** Returns how many micro-tokens may still be granted ahead of demand. */
    long prefetchCapacity(int outstandingPercent) {
        if (claimMicro > 0 || !source.allowsPrefetch()) {
            return 0;
        }
        return TokenUnits.toMicroTokens(limit.burst()) / 100 * outstandingPercent - outstandingMicro;
    }

    /** Sets tokens aside for requests of at least this size until the given time. */
    void startClaim(long sizeMicro, long untilMillis) {
        if (!source.allowsClaims() || sizeMicro < claimMicro) {
            return;
        }
        // The whole level is set aside, because it was not sufficient for the request.
        claimSetAsideMicro = Math.max(claimSetAsideMicro, bucket.levelMicro());
        claimMicro = sizeMicro;
        claimUntilMillis = Math.max(claimUntilMillis, untilMillis);
    }

    /** Ends the claim after a request of this size was granted, unless the claim is for a larger one. */
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

    /** Returns the time that it takes to accrue the amount at the rate of the team. */
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
