package io.oleandermoor.state.rate;

/**
 * Smallest gap between the content and the capacity of a bucket since any earlier time. Keeps the minima of all
 * suffixes of the history: times and gaps both increase. When the space is used up, the two minima that differ least
 * are merged into the smaller one, which never overstates a gap.
 */
final class HeadroomHistory {

    /** Each team has one history, so that 32 pairs cost 512 bytes per team. */
    private static final int CAPACITY = 32;

    private final long[] times = new long[CAPACITY];
    private final long[] headrooms = new long[CAPACITY];
    private int size;

    /** Records a gap at a time not earlier than those before. */
    void add(long millis, long gap) {
        while (size > 0 && headrooms[size - 1] >= gap) {
            size--;
        }
        if (size == CAPACITY) {
            mergeClosest();
        }
        times[size] = millis;
        headrooms[size] = gap;
        size++;
    }

    /** Takes up to this amount from all gaps since the time, and returns what was taken. */
    long consume(long wanted, long sinceMillis) {
        int first = 0;
        while (first < size && times[first] < sinceMillis) {
            first++;
        }
        if (first == size) {
            return 0;
        }
        long taken = Math.max(0, Math.min(wanted, headrooms[first]));
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
