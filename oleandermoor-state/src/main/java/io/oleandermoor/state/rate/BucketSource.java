package io.oleandermoor.state.rate;

/** What the tokens of a bucket come from. Rates are in micro-tokens per millisecond, bursts in micro-tokens. */
enum BucketSource {

    /** Rate and burst of the team, without the floors of entries. */
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

    /** The floors that entries have lent. */
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
            // Tokens of a pool end before the loans that back them and are too few to be kept by one entry.
            return false;
        }

        @Override
        boolean allowsClaims() {
            // The small bucket would serve nobody while it waits for a caller that was refused and may not return.
            return false;
        }
    };

    /** Returns the accrual, with the floors in use or lent. */
    abstract long rate(RateLimit limit, long floorRate, int floors);

    /** Returns the largest sum of level and outstanding tokens, with the floors reserved, and in use or lent. */
    abstract long burst(RateLimit limit, long floorBurst, int reserved, int floors);

    /** Returns whether entries obtain tokens before they need them. */
    abstract boolean allowsPrefetch();

    /** Returns whether tokens are set aside for a large request that was refused. */
    abstract boolean allowsClaims();
}
