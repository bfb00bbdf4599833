package io.oleandermoor.state.routing;

import java.util.Arrays;

/**
 * Counts the requests sent to an upstream in short time buckets, so that those sent after a load measurement can be
 * added to it. Not thread-safe.
 */
final class SendHistory {

    /** Length of a bucket in milliseconds; a count is too large by at most the requests of one bucket. */
    static final long BUCKET_MILLIS = 32;

    /** Number of buckets. They cover two seconds, the time after which a connection without traffic is closed. */
    private static final int BUCKETS = 64;

    private final int[] counts = new int[BUCKETS];
    private long newestBucket = Long.MIN_VALUE;

    void recordSend(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= BUCKETS) {
            Arrays.fill(counts, 0);
            newestBucket = bucket;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            counts[index(newestBucket)] = 0;
        }
        counts[index(newestBucket)]++;
    }

    int countSince(long measuredAtMillis) {
        if (newestBucket == Long.MIN_VALUE) {
            return 0;
        }
        long firstBucket = Math.max(Math.floorDiv(measuredAtMillis, BUCKET_MILLIS), newestBucket - BUCKETS + 1);
        int sum = 0;
        for (long bucket = firstBucket; bucket <= newestBucket; bucket++) {
            sum += counts[index(bucket)];
        }
        return sum;
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
