package io.oleandermoor.gateway.view;

/**
 * A moment on the steady clock and on the time of day. The steady clock stands still while the machine is suspended,
 * and the time of day may be stepped, so an age is the larger of both differences: never less than the true age, unless
 * the time of day is set back while the machine is suspended.
 *
 * @param monotonicMillis the steady clock
 * @param wallClockMillis the time of day
 */
public record Timestamp(long monotonicMillis, long wallClockMillis) {

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** When this class was loaded, which a process does first. */
    private static final Timestamp PROCESS_START = now();

    /** Returns the moment at which the process started. */
    public static Timestamp processStart() {
        return PROCESS_START;
    }

    /** Returns the present moment. */
    public static Timestamp now() {
        return new Timestamp(monotonicNowMillis(), System.currentTimeMillis());
    }

    /** Returns the steady clock in milliseconds. */
    public static long monotonicNowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Returns the moment that lies a time after this one. */
    public Timestamp plus(long millis) {
        return new Timestamp(monotonicMillis + millis, wallClockMillis + millis);
    }

    /** Returns the time since this moment, also counting time during which the machine was suspended. */
    public long ageMillis() {
        Timestamp now = now();
        return Math.max(now.monotonicMillis - monotonicMillis, now.wallClockMillis - wallClockMillis);
    }
}
