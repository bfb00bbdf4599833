package io.oleandermoor.state.routing;

import java.util.Arrays;

/**
 * Counts the requests sent to one upstream in short periods, so that those sent after a load measurement can be added
 * to it. Not safe for use by several threads.
 */
final class SendHistory {

    /** Length of one period in milliseconds; the error of a count is at most the requests of one period. */
    static final long BUCKET_MILLIS = 32;

    /** Number of periods. They cover two seconds, the time after which a silent connection is closed. */
    private static final int BUCKETS = 64;

    private final int[] counts = new int[BUCKETS];
    private long newestBucket = Long.MIN_VALUE;

    void add(long nowMillis) {
        long period = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        if (newestBucket == Long.MIN_VALUE || period - newestBucket >= BUCKETS) {
            Arrays.fill(counts, 0);
            newestBucket = period;
        }
        while (newestBucket < period) {
            newestBucket++;
            counts[index(newestBucket)] = 0;
        }
        counts[index(newestBucket)]++;
    }

    int countSince(long measuredAtMillis) {
        if (newestBucket == Long.MIN_VALUE) {
            return 0;
        }
        long first = Math.max(Math.floorDiv(measuredAtMillis, BUCKET_MILLIS), newestBucket - BUCKETS + 1);
        int sum = 0;
        for (long period = first; period <= newestBucket; period++) {
            sum += counts[index(period)];
        }
        return sum;
    }

    private static int index(long period) {
        return (int) Math.floorMod(period, (long) BUCKETS);
    }
}
