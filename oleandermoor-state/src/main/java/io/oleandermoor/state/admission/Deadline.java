package io.oleandermoor.state.admission;

/**
 * Time by which work must have started. Only the remaining time is sent between processes, because their clocks differ.
 *
 * @param atMillis time of the process's monotonic clock
 */
public record Deadline(long atMillis) {

    /**
     * Returns a deadline after the given remaining time.
     *
     * @param nowMillis current time
     * @param remainingMillis remaining time, not negative
     * @return the deadline
     */
    public static Deadline after(long nowMillis, long remainingMillis) {
        if (remainingMillis < 0) {
            throw new IllegalArgumentException("remainingMillis must not be negative: " + remainingMillis);
        }
        long at = nowMillis + remainingMillis;
        return new Deadline(at < nowMillis ? Long.MAX_VALUE : at);
    }

    /**
     * Returns the remaining time.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, 0 if the deadline has passed
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, atMillis - nowMillis);
    }

    /**
     * Returns whether the deadline has passed.
     *
     * @param nowMillis current time
     * @return true at and after the deadline
     */
    public boolean hasPassed(long nowMillis) {
        return nowMillis >= atMillis;
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other another deadline of the same process
     * @return the earlier deadline
     */
    public Deadline earlier(Deadline other) {
        return atMillis <= other.atMillis ? this : other;
    }
}
