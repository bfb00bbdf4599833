package io.oleandermoor.gateway.view;

/**
 * A moment on the steady clock and on the time of day. The steady clock stands still while the machine is suspended,
 * and the time of day may be stepped, so an age is the larger of both differences: never less than the true age, unless
 * the time of day is set back while the machine is suspended.
 *
 * @param steadyMillis the steady clock
 * @param dayMillis the time of day
 */
public record Moment(long steadyMillis, long dayMillis) {

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** When this class was loaded, which a process does first. */
    private static final Moment PROCESS_START = now();

    /** Returns the moment at which the process started. */
    public static Moment processStart() {
        return PROCESS_START;
    }

    /** Returns the present moment. */
    public static Moment now() {
        return new Moment(steadyNow(), System.currentTimeMillis());
    }

    /** Returns the steady clock in milliseconds. */
    public static long steadyNow() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Returns the moment that lies a time after this one. */
    public Moment plus(long millis) {
        return new Moment(steadyMillis + millis, dayMillis + millis);
    }

    /** Returns the time since this moment, also counting time during which the machine was suspended. */
    public long ageMillis() {
        Moment now = now();
        return Math.max(now.steadyMillis - steadyMillis, now.dayMillis - dayMillis);
    }
}
