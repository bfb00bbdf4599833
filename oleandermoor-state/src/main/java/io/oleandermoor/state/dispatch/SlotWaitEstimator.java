package io.oleandermoor.state.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a request waits for a slot while all instances are full, from the rate at which queued requests
 * for the same resource were assigned slots. The estimate allows a request that cannot get a slot before its deadline
 * to be refused immediately with a retry time, as happens during bursts and for busy models with a single copy. Not
 * thread-safe.
 */
public final class SlotWaitEstimator {

    /** Window in which assignments are counted; as short as a few stream events, to follow changes quickly. */
    private static final long WINDOW_MILLIS = 1_000;
    /** Minimum age of a backlog before the assignments in it are used for an estimate. */
    private static final long MINIMUM_BACKLOG_MILLIS = 400;
    /** Estimate without a sufficient history: one or two requests end at an instance in this time. */
    private static final long DEFAULT_WAIT_MILLIS = 250;
    /** Added to the default estimate for each request ahead: the time to process a long prompt. */
    private static final long DEFAULT_WAIT_PER_REQUEST_AHEAD_MILLIS = 60;

    private final Map<String, Backlog> backlogs = new HashMap<>();

    private static final class Backlog {

        private long startMillis;
        private final Deque<Long> assignmentMillis = new ArrayDeque<>();

        private Backlog(long startMillis) {
            this.startMillis = startMillis;
        }
    }

    /**
     * Records that a request was assigned a slot.
     *
     * @param resource the resource that the request needs; requests for the same resource wait for the same slots
     * @param nowMillis the current time
     */
    public void recordAssignment(String resource, long nowMillis) {
        Backlog backlog = backlogs.get(resource);
        if (backlog != null) {
            backlog.assignmentMillis.addLast(nowMillis);
            expire(backlog, nowMillis);
        }
    }

    /**
     * Returns the expected time until a request that is queued now is assigned a slot.
     *
     * @param resource the resource that the request needs
     * @param requestsAhead the number of queued requests for the same resource that are served earlier
     * @param nowMillis the current time
     */
    public long expectedWaitMillis(String resource, int requestsAhead, long nowMillis) {
        Backlog backlog = backlogs.computeIfAbsent(resource, key -> new Backlog(nowMillis));
        if (requestsAhead == 0) {
            // With an empty queue, earlier assignments reflect the arrival rate and not the service rate.
            backlog.startMillis = nowMillis;
            backlog.assignmentMillis.clear();
        }
        expire(backlog, nowMillis);
        long backlogAgeMillis = nowMillis - backlog.startMillis;
        if (backlogAgeMillis < MINIMUM_BACKLOG_MILLIS) {
            return DEFAULT_WAIT_MILLIS + DEFAULT_WAIT_PER_REQUEST_AHEAD_MILLIS * requestsAhead;
        }
        long countedMillis = Math.min(backlogAgeMillis, WINDOW_MILLIS);
        return Math.max(1, countedMillis * (requestsAhead + 1) / Math.max(1, backlog.assignmentMillis.size()));
    }

    /** Returns the average time between two recent assignments of slots of a resource, a default without a history. */
    public long assignmentIntervalMillis(String resource, long nowMillis) {
        Backlog backlog = backlogs.get(resource);
        if (backlog == null) {
            return DEFAULT_WAIT_PER_REQUEST_AHEAD_MILLIS;
        }
        expire(backlog, nowMillis);
        long countedMillis = Math.min(nowMillis - backlog.startMillis, WINDOW_MILLIS);
        return countedMillis < MINIMUM_BACKLOG_MILLIS
                ? DEFAULT_WAIT_PER_REQUEST_AHEAD_MILLIS
                : countedMillis / Math.max(1, backlog.assignmentMillis.size());
    }

    private static void expire(Backlog backlog, long nowMillis) {
        while (!backlog.assignmentMillis.isEmpty()
                && backlog.assignmentMillis.peekFirst() <= nowMillis - WINDOW_MILLIS) {
            backlog.assignmentMillis.removeFirst();
        }
    }
}
