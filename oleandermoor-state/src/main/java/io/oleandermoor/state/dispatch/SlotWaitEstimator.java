package io.oleandermoor.state.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Predicts when a request gets a place at instances that are all taken, from the places that requests with the same
 * need got while others waited. Answers bursts and single copies of busy models: what cannot get a place in its time is
 * told at once when to come back. Not safe for use by several threads.
 */
public final class SlotWaitEstimator {

    /** Time over which places are counted; a few events of a stream, so that a change shows soon. */
    private static final long WINDOW_MILLIS = 1_000;
    /** Time for which requests must have waited before the places that they got tell anything. */
    private static final long MINIMUM_BACKLOG_MILLIS = 400;
    /** Expected wait while little is known: one or two requests end at an instance in this time. */
    private static final long DEFAULT_WAIT_MILLIS = 250;
    /** Expected wait for each request that comes first while little is known: the reading of a long prompt. */
    private static final long DEFAULT_WAIT_PER_REQUEST_AHEAD_MILLIS = 60;

    private final Map<String, Backlog> backlogs = new HashMap<>();

    private static final class Backlog {

        private long sinceMillis;
        private final Deque<Long> assignmentMillis = new ArrayDeque<>();

        private Backlog(long sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }

    /**
     * Notes that a request got a place.
     *
     * @param need what the request needs; requests with the same need wait for the same places
     * @param nowMillis the time
     */
    public void recordAssignment(String need, long nowMillis) {
        Backlog backlog = backlogs.get(need);
        if (backlog != null) {
            backlog.assignmentMillis.addLast(nowMillis);
            expire(backlog, nowMillis);
        }
    }

    /**
     * Returns the expected time until there is a place for a request that begins to wait.
     *
     * @param need what the request needs
     * @param ahead the requests with the same need that come first
     * @param nowMillis the time
     */
    public long expectedWaitMillis(String need, int ahead, long nowMillis) {
        Backlog backlog = backlogs.computeIfAbsent(need, key -> new Backlog(nowMillis));
        if (ahead == 0) {
            // Nobody waits, so places taken until now tell of the arrivals and not of what the instances can do.
            backlog.sinceMillis = nowMillis;
            backlog.assignmentMillis.clear();
        }
        expire(backlog, nowMillis);
        long waited = nowMillis - backlog.sinceMillis;
        if (waited < MINIMUM_BACKLOG_MILLIS) {
            return DEFAULT_WAIT_MILLIS + DEFAULT_WAIT_PER_REQUEST_AHEAD_MILLIS * ahead;
        }
        long counted = Math.min(waited, WINDOW_MILLIS);
        return Math.max(1, counted * (ahead + 1) / Math.max(1, backlog.assignmentMillis.size()));
    }

    private static void expire(Backlog backlog, long nowMillis) {
        while (!backlog.assignmentMillis.isEmpty()
                && backlog.assignmentMillis.peekFirst() <= nowMillis - WINDOW_MILLIS) {
            backlog.assignmentMillis.removeFirst();
        }
    }
}
