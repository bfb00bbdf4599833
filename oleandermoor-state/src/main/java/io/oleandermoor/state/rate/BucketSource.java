package io.oleandermoor.state.rate;

/**
 * Source of the tokens of a bucket at the rate owner. Rates are in micro-tokens per millisecond, bursts in
 * micro-tokens.
 */
enum BucketSource {

    /** The rate and burst of the team, less the floors of the entries. */
    TEAM_LIMIT {
        @Override
        long rate(RateLimit limit, long floorRate, int floors) {
            return TokenUnits.toMicroTokensPerMillis(limit.rate()) - floorRate * floors;
        }

        @Override
        long burst(RateLimit limit, long floorBurst, int reserved, int floors) {
            return TokenUnits.toMicroTokens(limit.burst()) - floorBurst * reserved;
        }

        @Override
        boolean allowsPrefetch() {
            return true;
        }

        @Override
        boolean allowsClaims() {
            return true;
        }
    },

    /** The floors that entries have contributed to a pool. */
    POOLED_FLOORS {
        @Override
        long rate(RateLimit limit, long floorRate, int floors) {
            return floorRate * floors;
        }

        @Override
        long burst(RateLimit limit, long floorBurst, int reserved, int floors) {
            return floorBurst * floors;
        }

        @Override
        boolean allowsPrefetch() {
            // Pool tokens expire before the contributions that back them, and there are too few for one entry to hold.
            return false;
        }

        @Override
        boolean allowsClaims() {
            // The bucket is small: it would serve no request while it saves tokens for a refused caller that may not
            // retry.
            return false;
        }
    };

    /** Returns the accrual rate for the number of floors in use or contributed. */
    abstract long rate(RateLimit limit, long floorRate, int floors);

    /**
     * Returns the maximum sum of level and outstanding tokens for the number of floors whose burst is reserved and the
     * number of floors in use or contributed.
     */
    abstract long burst(RateLimit limit, long floorBurst, int reserved, int floors);

    /** Returns whether entries may obtain tokens ahead of demand. */
    abstract boolean allowsPrefetch();

    /** Returns whether tokens are set aside for a large request that was refused (a claim). */
    abstract boolean allowsClaims();
}
