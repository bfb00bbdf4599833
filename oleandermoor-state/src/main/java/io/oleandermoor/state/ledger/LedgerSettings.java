package io.oleandermoor.state.ledger;

/**
 * Limits of the ledger of an agent.
 *
 * @param maximumRecords number of attempts remembered, including those that did not run; each takes about 200 bytes
 * @param maximumActiveAttempts number of attempts that wait or run
 * @param maximumBytesPerAttempt characters of text and bytes of body kept for replay, for each attempt
 * @param maximumBytes the same for all attempts together
 * @param maximumMessageDelayMillis longest time that a message can be under way, in milliseconds
 * @param retentionMillis time for which the end of an attempt is remembered, in milliseconds; it must exceed the
 *     longest delay, so that a late message never meets a forgotten attempt
 * @param reattachTimeoutMillis time for which repeatable work continues without its entry, in milliseconds
 */
public record LedgerSettings(
        int maximumRecords,
        int maximumActiveAttempts,
        int maximumBytesPerAttempt,
        long maximumBytes,
        long maximumMessageDelayMillis,
        long retentionMillis,
        long reattachTimeoutMillis) {

    /** Checks the limits. */
    public LedgerSettings {
        if (maximumActiveAttempts < 1 || maximumRecords < maximumActiveAttempts) {
            throw new IllegalArgumentException("maximumRecords must be at least maximumActive, and that positive");
        }
        if (maximumBytesPerAttempt < 1 || maximumBytes < maximumBytesPerAttempt) {
            throw new IllegalArgumentException(
                    "maximumBytes must be at least maximumBytesPerAttempt, and that positive");
        }
        if (maximumMessageDelayMillis < 0 || retentionMillis <= maximumMessageDelayMillis) {
            throw new IllegalArgumentException("retentionMillis must exceed maximumMessageDelayMillis");
        }
        if (reattachTimeoutMillis < 0) {
            throw new IllegalArgumentException("reattachMillis must not be negative, was " + reattachTimeoutMillis);
        }
    }

    /**
     * Returns the usual limits. A connection is closed after 2 s of silence, so no message is under way for 10 s. Up to
     * 13,000 attempts/s fit into the records within their retention.
     *
     * @return 400,000 records kept for 30 s, with 256 KiB for each attempt and 64 MiB in total
     */
    public static LedgerSettings defaults() {
        return new LedgerSettings(400_000, 8_192, 256 << 10, 64L << 20, 10_000, 30_000, 5_000);
    }
}
