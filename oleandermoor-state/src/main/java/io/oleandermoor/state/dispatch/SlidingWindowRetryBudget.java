package io.oleandermoor.state.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of one service at one entry to a ratio of its requests in a sliding window, plus a fixed part. The
 * fixed part is divided equally among the entries, so that all entries together stay within the budget without
 * coordination. Not thread-safe.
 */
public final class SlidingWindowRetryBudget {

    /** Ratio of the budget that is used; the rest covers counts that fall into different windows. */
    private static final double USABLE_BUDGET_RATIO = 0.8;

    private final double retriesPerRequest;
    private final double fixedRetries;
    private final long windowMillis;
    private final Deque<Long> requestMillis = new ArrayDeque<>();
    private final Deque<Long> retryMillis = new ArrayDeque<>();

    /**
     * Creates a budget without requests and retries.
     *
     * @param retriesPerRequest the number of retries that each request permits
     * @param fixedRetries the number of retries per window that are always permitted to all entries together
     * @param windowMillis the length of the window
     */
    public SlidingWindowRetryBudget(double retriesPerRequest, double fixedRetries, long windowMillis) {
        this.retriesPerRequest = retriesPerRequest;
        this.fixedRetries = fixedRetries;
        this.windowMillis = windowMillis;
    }

    /** Records a request of a caller. */
    public void recordRequest(long nowMillis) {
        requestMillis.addLast(nowMillis);
        expire(requestMillis, nowMillis);
    }

    /**
     * Records a retry and returns whether it is permitted; a retry that is not permitted is not recorded.
     *
     * @param nowMillis the current time
     * @param entries the number of entries that share the fixed retries
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
