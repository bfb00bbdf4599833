package io.oleandermoor.state.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The number of entries among which rates are divided: the largest one in the retention period, because an entry whose
 * registration has ended may still send. Not thread-safe.
 */
final class EntryCount {

    /** Exceeds the time for which an entry serves after it was last confirmed by the store. */
    private static final long RETENTION_MILLIS = 30_000;
    /**
     * Time after the registration of this entry and the first list of entries in which the number is not used. Entries
     * that start together register one after the other, and their lists are up to half a second late.
     */
    private static final long SETTLING_MILLIS = 2_000;

    private final Deque<Peak> peaks = new ArrayDeque<>();
    private int current;
    private int rank;
    private long settledMillis = Long.MAX_VALUE;

    private record Peak(int count, long untilMillis) {}

    /**
     * Records the registered entries.
     *
     * @param newCount the number of entries, including this one
     * @param newRank the number of entries whose names precede the name of this one
     * @param nowMillis the current time
     */
    void record(int newCount, int newRank, long nowMillis) {
        if (newCount < current) {
            int ended = current;
            peaks.removeIf(peak -> peak.count() <= ended);
            peaks.addLast(new Peak(ended, nowMillis + RETENTION_MILLIS));
        }
        if (settledMillis == Long.MAX_VALUE) {
            settledMillis = nowMillis + SETTLING_MILLIS;
        }
        current = newCount;
        rank = newRank;
    }

    /** Restarts the settling time, because the other entries learn of this one only now. */
    void recordRegistration(long nowMillis) {
        if (settledMillis != Long.MAX_VALUE) {
            settledMillis = nowMillis + SETTLING_MILLIS;
        }
    }

    /** Returns whether the number of entries can be used. */
    boolean isSettled(long nowMillis) {
        return nowMillis >= settledMillis;
    }

    /** Returns the largest number of entries in the retention period, at least 1. */
    int maximum(long nowMillis) {
        peaks.removeIf(peak -> peak.untilMillis() <= nowMillis);
        return Math.max(
                Math.max(1, current), peaks.isEmpty() ? 1 : peaks.peekFirst().count());
    }

    /**
     * Returns the position of this entry among all entries, from 0 (inclusive) to 1 (exclusive).
     *
     * @param fraction a random number from 0 (inclusive) to 1 (exclusive)
     */
    double position(double fraction) {
        return (rank + fraction) / Math.max(rank + 1, current);
    }
}
