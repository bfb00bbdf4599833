package io.oleandermoor.state.rate;

/**
 * Token bucket in micro-tokens whose rate and capacity can change. It starts empty. A time before the last update has
 * no effect. Not thread-safe.
 */
public final class TokenBucket {

    private long microTokensPerMillis;
    private long capacityMicro;
    private long levelMicro;
    private long updatedMillis;

    /**
     * Creates an empty bucket.
     *
     * @param microPerMillis accrual in micro-tokens per millisecond, not negative
     * @param capacityMicro maximum level in micro-tokens, not negative
     * @param nowMillis time of the process's monotonic clock
     */
    public TokenBucket(long microPerMillis, long capacityMicro, long nowMillis) {
        this.updatedMillis = nowMillis;
        configure(microPerMillis, capacityMicro, nowMillis);
    }

    /**
     * Adds the tokens accrued since the last call.
     *
     * @param nowMillis current time
     */
    public void advance(long nowMillis) {
        if (nowMillis <= updatedMillis) {
            return;
        }
        long elapsed = nowMillis - updatedMillis;
        updatedMillis = nowMillis;
        if (microTokensPerMillis > 0) {
            long headroom = capacityMicro - levelMicro;
            // Compares by division because the product can overflow after a long idle time.
            levelMicro = elapsed > headroom / microTokensPerMillis
                    ? capacityMicro
                    : levelMicro + elapsed * microTokensPerMillis;
        }
    }

    /**
     * Changes rate and capacity from now on; a level above the new capacity is reduced to it.
     *
     * @param newMicroPerMillis accrual in micro-tokens per millisecond, not negative
     * @param newCapacityMicro maximum level in micro-tokens, not negative
     * @param nowMillis current time
     */
    public void configure(long newMicroPerMillis, long newCapacityMicro, long nowMillis) {
        if (newMicroPerMillis < 0 || newCapacityMicro < 0) {
            throw new IllegalArgumentException(
                    "rate and capacity must not be negative: " + newMicroPerMillis + ", " + newCapacityMicro);
        }
        advance(nowMillis);
        microTokensPerMillis = newMicroPerMillis;
        capacityMicro = newCapacityMicro;
        levelMicro = Math.min(levelMicro, capacityMicro);
    }

    /**
     * Takes tokens if the level covers them.
     *
     * @param micro number of micro-tokens, not negative
     * @return whether the tokens were taken
     */
    public boolean tryTake(long micro) {
        if (micro < 0) {
            throw new IllegalArgumentException("micro must not be negative: " + micro);
        }
        if (micro > levelMicro) {
            return false;
        }
        levelMicro -= micro;
        return true;
    }

    /**
     * Returns tokens to the bucket, up to the capacity.
     *
     * @param micro number of micro-tokens, not negative
     */
    public void giveBack(long micro) {
        levelMicro = Math.min(capacityMicro, levelMicro + micro);
    }

    /**
     * Returns the level.
     *
     * @return the number of micro-tokens at the last update
     */
    public long levelMicro() {
        return levelMicro;
    }

    /**
     * Returns the maximum level.
     *
     * @return micro-tokens
     */
    public long capacityMicro() {
        return capacityMicro;
    }

    /**
     * Returns the time until the level covers an amount if no tokens are taken.
     *
     * @param micro number of micro-tokens
     * @return the time in milliseconds, or {@link Long#MAX_VALUE} if the level never covers the amount
     */
    public long millisUntil(long micro) {
        if (micro <= levelMicro) {
            return 0;
        }
        if (micro > capacityMicro || microTokensPerMillis == 0) {
            return Long.MAX_VALUE;
        }
        return (micro - levelMicro + microTokensPerMillis - 1) / microTokensPerMillis;
    }
}
