package io.oleandermoor.state.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Spaces the times at which refused callers are told to return, so that no more of them return in a period than slots
 * become free in it. This covers bursts: callers that all return after the same delay find the slots taken again, and
 * most of them do not try a third time. Not thread-safe.
 */
public final class ReturnSchedule {

    private final Map<String, Long> lastReturnMillis = new HashMap<>();

    /**
     * Reserves the time at which a refused caller returns.
     *
     * @param resource the resource that the request needs; callers that need the same resource return one after the
     *     other
     * @param delayMillis the minimum time until the return
     * @param spacingMillis the minimum time between two returns for the resource
     * @param maximumDelayMillis the time after which the caller would have to give up
     * @param nowMillis the current time
     * @return the time until the return
     */
    public long reserve(
            String resource, long delayMillis, long spacingMillis, long maximumDelayMillis, long nowMillis) {
        long earliestMillis = nowMillis + delayMillis;
        Long last = lastReturnMillis.get(resource);
        long returnMillis = last == null ? earliestMillis : Math.max(earliestMillis, last + spacingMillis);
        // A caller that cannot wait until its turn returns when it has to and reserves nothing.
        if (returnMillis > nowMillis + maximumDelayMillis) {
            return Math.max(delayMillis, maximumDelayMillis);
        }
        lastReturnMillis.put(resource, returnMillis);
        return returnMillis - nowMillis;
    }
}
