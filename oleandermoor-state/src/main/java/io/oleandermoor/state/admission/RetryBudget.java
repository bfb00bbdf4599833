package io.oleandermoor.state.admission;

/**
 * Limits retries to a fraction of the successful requests, so that retries cannot multiply the load of a failing
 * upstream. The budget starts with a number of initial retries and grows with successes up to a maximum. Not
 * thread-safe.
 */
public final class RetryBudget {

    private static final long UNITS_PER_RETRY = 1_000;

    private final long unitsPerSuccess;
    private final long maximumUnits;
    private long balanceUnits;

    /**
     * Creates a budget.
     *
     * @param retryPercent number of retries added per hundred successes, in 0..100
     * @param initialRetries number of retries before any success, not negative
     * @param maximumRetries maximum number of accumulated retries, at least {@code initialRetries}
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

    /** Records a successful request. */
    public void recordSuccess() {
        balanceUnits = Math.min(maximumUnits, balanceUnits + unitsPerSuccess);
    }

    /**
     * Takes one retry from the budget if it is available.
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
