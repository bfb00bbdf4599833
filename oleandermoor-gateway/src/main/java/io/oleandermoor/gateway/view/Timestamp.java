package io.oleandermoor.gateway.view;

/**
 * A point in time on the monotonic clock and on the wall clock. The monotonic clock stops while the machine is
 * suspended, and the wall clock may be adjusted, so an age is the larger of both differences. It is never less than the
 * true age, unless the wall clock is set back while the machine is suspended.
 *
 * @param monotonicMillis the time on the monotonic clock, in milliseconds
 * @param wallClockMillis the time on the wall clock, in milliseconds since the epoch
 */
public record Timestamp(long monotonicMillis, long wallClockMillis) {

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The time at which this class was loaded, which a process does first. */
    private static final Timestamp PROCESS_START = now();

    /** Returns the time at which the process started. */
    public static Timestamp processStart() {
        return PROCESS_START;
    }

    /** Returns the current time. */
    public static Timestamp now() {
        return new Timestamp(monotonicNowMillis(), System.currentTimeMillis());
    }

    /** Returns the current time on the monotonic clock in milliseconds. */
    public static long monotonicNowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Returns the time that is a number of milliseconds after this one. */
    public Timestamp plus(long millis) {
        return new Timestamp(monotonicMillis + millis, wallClockMillis + millis);
    }

    /** Returns the age of this time, including periods in which the machine was suspended. */
    public long ageMillis() {
        Timestamp now = now();
        return Math.max(now.monotonicMillis - monotonicMillis, now.wallClockMillis - wallClockMillis);
    }
}
