package io.oleandermoor.state.admission;

/**
 * Limits retries to a fraction of successes, so that retries cannot multiply the load of an upstream that fails. It
 * starts with a few retries and grows with successes up to a bound. Not safe for use by several threads.
 */
public final class RetryBudget {

    private static final long UNITS_PER_RETRY = 1_000;

    private final long unitsPerSuccess;
    private final long maximumUnits;
    private long balanceUnits;

    /**
     * Creates a budget.
     *
     * @param retryPercent retries earned by one hundred successes, in 0..100
     * @param initialRetries retries before any success, not negative
     * @param maximumRetries largest number of saved retries, at least {@code initialRetries}
     */
    public RetryBudget(int retryPercent, int initialRetries, int maximumRetries) {
        if (retryPercent < 0 || retryPercent > 100) {
            throw new IllegalArgumentException("retryPercent must be in 0..100: " + retryPercent);
        }
        if (initialRetries < 0 || maximumRetries < initialRetries) {
            throw new IllegalArgumentException(
                    "need 0 <= initialRetries <= maximumRetries: " + initialRetries + ", " + maximumRetries);
        }
        this.unitsPerSuccess = retryPercent * UNITS_PER_RETRY / 100;
        this.maximumUnits = maximumRetries * UNITS_PER_RETRY;
        this.balanceUnits = initialRetries * UNITS_PER_RETRY;
    }

    /** Records a success. */
    public void recordSuccess() {
        balanceUnits = Math.min(maximumUnits, balanceUnits + unitsPerSuccess);
    }

    /**
     * Takes one retry.
     *
     * @return whether a retry is allowed
     */
    public boolean tryRetry() {
        if (balanceUnits < UNITS_PER_RETRY) {
            return false;
        }
        balanceUnits -= UNITS_PER_RETRY;
        return true;
    }
}
