package io.oleandermoor.state.rate;

/** Decides how an entry obtains the tokens of a team. */
public enum RatePolicy {

    /** Entries obtain tokens from the rate owner and spend their floors while there is no owner. */
    OWNER_GRANTS {
        @Override
        boolean asksOwner() {
            return true;
        }

        @Override
        int localRatePercent(RateSettings settings) {
            return settings.floorRatePercent();
        }

        @Override
        int localBurstPercent(RateSettings settings) {
            return settings.floorBurstPercent();
        }
    },

    /** Baseline: each entry spends an equal fixed share of rate and burst and asks no owner. */
    FIXED_SHARE {
        @Override
        boolean asksOwner() {
            return false;
        }

        @Override
        int localRatePercent(RateSettings settings) {
            return 100;
        }

        @Override
        int localBurstPercent(RateSettings settings) {
            return 100;
        }
    };

    /** Returns whether entries ask an owner for tokens. */
    abstract boolean asksOwner();

    /** Returns the percentage of the rate that all entries together may spend without an owner. */
    abstract int localRatePercent(RateSettings settings);

    /** Returns the percentage of the burst that all entries together may spend without an owner. */
    abstract int localBurstPercent(RateSettings settings);

    /** Returns the local rate of one entry in micro-tokens per millisecond. */
    long localRate(RateSettings settings, RateLimit limit) {
        return TokenUnits.toMicroTokensPerMillis(limit.rate())
                * localRatePercent(settings)
                / 100
                / settings.maximumEntries();
    }

    /** Returns the local burst of one entry in micro-tokens. */
    long localBurst(RateSettings settings, RateLimit limit) {
        return TokenUnits.toMicroTokens(limit.burst()) / 100 * localBurstPercent(settings) / settings.maximumEntries();
    }

    /** Returns the maximum size in tokens of a request that can be granted. */
    long maximumRequestTokens(RateSettings settings, RateLimit limit) {
        long local = localBurst(settings, limit);
        return asksOwner()
                ? TokenUnits.toWholeTokens(TokenUnits.toMicroTokens(limit.burst()) - local * settings.maximumEntries())
                : TokenUnits.toWholeTokens(local);
    }
}
