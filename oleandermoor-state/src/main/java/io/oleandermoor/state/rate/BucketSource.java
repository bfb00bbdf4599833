package io.oleandermoor.state.rate;

/** What the tokens of a bucket come from. Rates are in micro-tokens per millisecond, bursts in micro-tokens. */
enum BucketSource {

    /** Rate and burst of the team, without the floors of entries. */
    LIMIT {
        @Override
        long rate(RateLimit limit, long floorRate, int floors) {
            return Units.accrual(limit.rate()) - floorRate * floors;
        }

        @Override
        long burst(RateLimit limit, long floorBurst, int reserved, int floors) {
            return Units.micro(limit.burst()) - floorBurst * reserved;
        }

        @Override
        boolean grantsInAdvance() {
            return true;
        }

        @Override
        boolean setsAside() {
            return true;
        }
    },

    /** The floors that entries have lent. */
    LOANS {
        @Override
        long rate(RateLimit limit, long floorRate, int floors) {
            return floorRate * floors;
        }

        @Override
        long burst(RateLimit limit, long floorBurst, int reserved, int floors) {
            return floorBurst * floors;
        }

        @Override
        boolean grantsInAdvance() {
            // Tokens of a pool end before the loans that back them and are too few to be kept by one entry.
            return false;
        }

        @Override
        boolean setsAside() {
            // The small bucket would serve nobody while it waits for a caller that was refused and may not return.
            return false;
        }
    };

    /** Returns the accrual, with the floors in use or lent. */
    abstract long rate(RateLimit limit, long floorRate, int floors);

    /** Returns the largest sum of level and outstanding tokens, with the floors reserved, and in use or lent. */
    abstract long burst(RateLimit limit, long floorBurst, int reserved, int floors);

    /** Returns whether entries obtain tokens before they need them. */
    abstract boolean grantsInAdvance();

    /** Returns whether tokens are set aside for a large request that was refused. */
    abstract boolean setsAside();
}
