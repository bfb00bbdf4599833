package io.oleandermoor.state.routing;

import java.util.Arrays;

/**
 * Counts the requests sent to one upstream in short periods, so that those sent after a load measurement can be added
 * to it. Not safe for use by several threads.
 */
final class SendHistory {

    /** Length of one period in milliseconds; the error of a count is at most the requests of one period. */
    static final long PERIOD_MILLIS = 32;

    /** Number of periods. They cover two seconds, the time after which a silent connection is closed. */
    private static final int PERIODS = 64;

    private final int[] counts = new int[PERIODS];
    private long newestPeriod = Long.MIN_VALUE;

    void add(long nowMillis) {
        long period = Math.floorDiv(nowMillis, PERIOD_MILLIS);
        if (newestPeriod == Long.MIN_VALUE || period - newestPeriod >= PERIODS) {
            Arrays.fill(counts, 0);
            newestPeriod = period;
        }
        while (newestPeriod < period) {
            newestPeriod++;
            counts[index(newestPeriod)] = 0;
        }
        counts[index(newestPeriod)]++;
    }

    int since(long measuredAtMillis) {
        if (newestPeriod == Long.MIN_VALUE) {
            return 0;
        }
        long first = Math.max(Math.floorDiv(measuredAtMillis, PERIOD_MILLIS), newestPeriod - PERIODS + 1);
        int sum = 0;
        for (long period = first; period <= newestPeriod; period++) {
            sum += counts[index(period)];
        }
        return sum;
    }

    private static int index(long period) {
        return (int) Math.floorMod(period, (long) PERIODS);
    }
}
