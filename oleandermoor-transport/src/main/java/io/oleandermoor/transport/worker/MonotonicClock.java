package io.oleandermoor.transport.worker;

/** The clock of this process for durations. It does not follow changes of the wall clock. */
public final class MonotonicClock {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private MonotonicClock() {}

    /**
     * Returns the time.
     *
     * @return milliseconds since an arbitrary moment
     */
    public static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /**
     * Waits. An interrupt ends the wait early and stays set.
     *
     * @param millis the time to wait, in milliseconds
     */
    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
