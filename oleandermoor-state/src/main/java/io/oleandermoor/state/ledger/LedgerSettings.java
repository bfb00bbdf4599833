package io.oleandermoor.state.ledger;

/**
 * Limits of the request ledger of an agent.
 *
 * @param maximumRecords maximum number of attempt records, including attempts that did not run; each record takes about
 *     200 bytes
 * @param maximumActiveAttempts maximum number of attempts that are waiting or running
 * @param maximumBytesPerAttempt maximum size of the replay buffer of an attempt, as characters of text plus bytes of
 *     body
 * @param maximumBytes maximum size of the replay buffers of all attempts, counted in the same way
 * @param maximumMessageDelayMillis maximum time for which a message can be in transit, in milliseconds
 * @param retentionMillis time for which the record of an ended attempt is retained, in milliseconds; it must exceed the
 *     maximum message delay, so that a record is never removed before a late message about its attempt arrives
 * @param reattachTimeoutMillis time for which a repeatable attempt continues while its entry is disconnected, in
 *     milliseconds
 */
public record LedgerSettings(
        int maximumRecords,
        int maximumActiveAttempts,
        int maximumBytesPerAttempt,
        long maximumBytes,
        long maximumMessageDelayMillis,
        long retentionMillis,
        long reattachTimeoutMillis) {

    /** Checks that the limits are consistent. */
    public LedgerSettings {
        if (maximumActiveAttempts < 1 || maximumRecords < maximumActiveAttempts) {
            throw new IllegalArgumentException(
                    "maximumActiveAttempts must be positive and maximumRecords at least maximumActiveAttempts");
        }
        if (maximumBytesPerAttempt < 1 || maximumBytes < maximumBytesPerAttempt) {
            throw new IllegalArgumentException(
                    "maximumBytesPerAttempt must be positive and maximumBytes at least maximumBytesPerAttempt");
        }
        if (maximumMessageDelayMillis < 0 || retentionMillis <= maximumMessageDelayMillis) {
            throw new IllegalArgumentException("retentionMillis must exceed maximumMessageDelayMillis");
        }
        if (reattachTimeoutMillis < 0) {
            throw new IllegalArgumentException(
                    "reattachTimeoutMillis must not be negative, was " + reattachTimeoutMillis);
        }
    }

    /**
     * Returns the default limits. A connection is closed after 2 s without received data, so no message is in transit
     * for as long as 10 s. The records hold the retained attempts at a rate of up to 13,000 attempts/s.
     *
     * @return limits of 400,000 records, 30 s of retention, and replay buffers of 256 KiB per attempt and 64 MiB in
     *     total
     */
    public static LedgerSettings defaults() {
        return new LedgerSettings(400_000, 8_192, 256 << 10, 64L << 20, 10_000, 30_000, 5_000);
    }
}
