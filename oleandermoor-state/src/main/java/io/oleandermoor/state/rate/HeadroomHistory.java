package io.oleandermoor.state.rate;

/**
 * Tracks the minimum headroom of a bucket, its capacity minus its level, since any earlier time. Stores the minimum of
 * each suffix of the history, so times and headrooms both increase. When the arrays are full, the two adjacent minima
 * that differ least are merged into the smaller one, which never overstates the headroom.
 */
final class HeadroomHistory {

    /** Maximum number of recorded minima. Each team has one history; 32 pairs take 512 bytes per team. */
    private static final int CAPACITY = 32;

    private final long[] times = new long[CAPACITY];
    private final long[] headrooms = new long[CAPACITY];
    private int size;

    /** Records the headroom at a time that is not earlier than the last recorded time. */
    void add(long millis, long headroom) {
        while (size > 0 && headrooms[size - 1] >= headroom) {
            size--;
        }
        if (size == CAPACITY) {
            mergeClosest();
        }
        times[size] = millis;
        headrooms[size] = headroom;
        size++;
    }

    /** Reduces all headrooms since the given time by up to the given amount and returns the reduction. */
    long consume(long amount, long sinceMillis) {
        int first = 0;
        while (first < size && times[first] < sinceMillis) {
            first++;
        }
        if (first == size) {
            return 0;
        }
        long taken = Math.max(0, Math.min(amount, headrooms[first]));
        for (int index = first; index < size; index++) {
            headrooms[index] -= taken;
        }
        int kept = first;
        while (kept > 0 && headrooms[kept - 1] >= headrooms[first]) {
            kept--;
        }
        removeRange(kept, first);
        return taken;
    }

    private void mergeClosest() {
        int closest = 0;
        for (int index = 1; index < size - 1; index++) {
            if (headrooms[index + 1] - headrooms[index] < headrooms[closest + 1] - headrooms[closest]) {
                closest = index;
            }
        }
        headrooms[closest + 1] = headrooms[closest];
        removeRange(closest, closest + 1);
    }

    private void removeRange(int from, int to) {
        System.arraycopy(times, to, times, from, size - to);
        System.arraycopy(headrooms, to, headrooms, from, size - to);
        size -= to - from;
    }
}
