package io.oleandermoor.state.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the repeated sends of one service at one entry to a share of its requests within a sliding window. The fixed
 * part of the fleet's budget is divided among the entries, so that the sum over all entries stays inside the budget
 * without an exchange. Not safe for use by several threads.
 */
public final class RetryAllowance {

    /** Part of the budget that is used; the rest covers counts that fall into different windows. */
    private static final double SAFETY = 0.8;

    private final double ratio;
    private final double fixed;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

    /**
     * Creates an allowance.
     *
     * @param ratio the repeats that one request permits
     * @param fixed the repeats of all entries that are always permitted in a window
     * @param windowMillis the length of the window
     */
    public RetryAllowance(double ratio, double fixed, long windowMillis) {
        this.ratio = ratio;
        this.fixed = fixed;
        this.windowMillis = windowMillis;
    }

    /** Counts a request of a caller. */
    public void requested(long nowMillis) {
        requests.addLast(nowMillis);
        expire(requests, nowMillis);
    }

    /**
     * Takes one repeat if it is permitted.
     *
     * @param nowMillis the time
     * @param entries the number of entries that share the fixed part
     */
    public boolean tryRepeat(long nowMillis, int entries) {
        expire(requests, nowMillis);
        expire(repeats, nowMillis);
        double permitted = SAFETY * (ratio * requests.size() + fixed / Math.max(1, entries));
        if (repeats.size() + 1 > permitted) {
            return false;
        }
        repeats.addLast(nowMillis);
        return true;
    }

    private void expire(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - windowMillis) {
            times.removeFirst();
        }
    }
}
