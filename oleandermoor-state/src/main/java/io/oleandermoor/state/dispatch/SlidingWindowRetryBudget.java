package io.oleandermoor.state.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the repeated sends of one service at one entry to a share of its requests within a sliding window. The fixed
 * part of the fleet's budget is divided among the entries, so that the sum over all entries stays inside the budget
 * without an exchange. Not safe for use by several threads.
 */
public final class SlidingWindowRetryBudget {

    /** Part of the budget that is used; the rest covers counts that fall into different windows. */
    private static final double USABLE_BUDGET_RATIO = 0.8;

    private final double retriesPerRequest;
    private final double fixedRetries;
    private final long windowMillis;
    private final Deque<Long> requestMillis = new ArrayDeque<>();
    private final Deque<Long> retryMillis = new ArrayDeque<>();

    /**
     * Creates an allowance.
     *
     * @param ratio the repeats that one request permits
     * @param fixed the repeats of all entries that are always permitted in a window
     * @param windowMillis the length of the window
     */
    public SlidingWindowRetryBudget(double ratio, double fixed, long windowMillis) {
        this.retriesPerRequest = ratio;
        this.fixedRetries = fixed;
        this.windowMillis = windowMillis;
    }

    /** Counts a request of a caller. */
    public void recordRequest(long nowMillis) {
        requestMillis.addLast(nowMillis);
        expire(requestMillis, nowMillis);
    }

    /**
     * Takes one repeat if it is permitted.
     *
     * @param nowMillis the time
     * @param entries the number of entries that share the fixed part
     */
    public boolean tryAcquire(long nowMillis, int entries) {
        expire(requestMillis, nowMillis);
        expire(retryMillis, nowMillis);
        double permitted =
                USABLE_BUDGET_RATIO * (retriesPerRequest * requestMillis.size() + fixedRetries / Math.max(1, entries));
        if (retryMillis.size() + 1 > permitted) {
            return false;
        }
        retryMillis.addLast(nowMillis);
        return true;
    }

    private void expire(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - windowMillis) {
            times.removeFirst();
        }
    }
}
