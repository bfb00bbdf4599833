package io.oleandermoor.state.admission;

/**
 * Time by which work must have started. Only the remaining time is sent between processes, because their clocks differ.
 *
 * @param atMillis time of the process's monotonic clock
 */
public record Deadline(long atMillis) {

    /**
     * Returns the deadline that lies the given time ahead.
     *
     * @param nowMillis current time
     * @param remainingMillis remaining time, not negative
     * @return a deadline
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
     * @return milliseconds, 0 if the deadline has passed
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, atMillis - nowMillis);
    }

    /**
     * Returns whether the deadline has passed.
     *
     * @param nowMillis current time
     * @return true at the deadline and after it
     */
    public boolean hasPassed(long nowMillis) {
        return nowMillis >= atMillis;
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other another deadline of the same process
     * @return one of both
     */
    public Deadline earlier(Deadline other) {
        return atMillis <= other.atMillis ? this : other;
    }
}
