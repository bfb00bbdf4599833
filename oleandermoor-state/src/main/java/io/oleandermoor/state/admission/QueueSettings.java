package io.oleandermoor.state.admission;

/**
 * Settings of a queue.
 *
 * @param policy order and bounds of waiting requests
 * @param slots number of requests that the upstream runs at the same time, positive
 * @param maximumQueued maximum number of waiting requests, positive
 * @param worstServedWeight weight of the objective to improve the service of the worst-served team, not negative
 * @param refusalWeight weight of the objective to refuse few requests that are within the rate of their team, not
 *     negative
 * @param batchSharePercent part of the served tokens guaranteed to waiting batch work, in 0..100
 * @param maximumWaitMillis expected wait above which a new request is refused, not negative
 */
public record QueueSettings(
        AdmissionPolicy policy,
        int slots,
        int maximumQueued,
        int worstServedWeight,
        int refusalWeight,
        int batchSharePercent,
        long maximumWaitMillis) {

    /** Validates the ranges of the settings. */
    public QueueSettings {
        if (slots <= 0 || maximumQueued <= 0) {
            throw new IllegalArgumentException(
                    "slots and maximumQueued must be positive: " + slots + ", " + maximumQueued);
        }
        if (worstServedWeight < 0 || refusalWeight < 0 || worstServedWeight + refusalWeight <= 0) {
            throw new IllegalArgumentException(
                    "weights must not be negative and not both 0: " + worstServedWeight + ", " + refusalWeight);
        }
        if (batchSharePercent < 0 || batchSharePercent > 100) {
            throw new IllegalArgumentException("batchSharePercent must be in 0..100: " + batchSharePercent);
        }
        if (maximumWaitMillis < 0) {
            throw new IllegalArgumentException("maximumWaitMillis must not be negative: " + maximumWaitMillis);
        }
    }

    /**
     * Creates settings without a wait limit: only the deadline of a request limits its wait.
     *
     * @param policy order and bounds of waiting requests
     * @param slots number of requests that the upstream runs at the same time, positive
     * @param maximumQueued maximum number of waiting requests, positive
     * @param worstServedWeight weight of the objective to improve the service of the worst-served team, not negative
     * @param refusalWeight weight of the objective to refuse few requests that are within the rate of their team, not
     *     negative
     * @param batchSharePercent part of the served tokens guaranteed to waiting batch work, in 0..100
     */
    public QueueSettings(
            AdmissionPolicy policy,
            int slots,
            int maximumQueued,
            int worstServedWeight,
            int refusalWeight,
            int batchSharePercent) {
        this(policy, slots, maximumQueued, worstServedWeight, refusalWeight, batchSharePercent, Long.MAX_VALUE);
    }
}
