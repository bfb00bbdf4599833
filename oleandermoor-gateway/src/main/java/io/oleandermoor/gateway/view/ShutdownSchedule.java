package io.oleandermoor.gateway.view;

import io.oleandermoor.state.fleet.HostRoute;

/**
 * The times of a planned stop on the monotonic clock, and which requests this entry still accepts before it ends.
 *
 * @param drainedMillis the time from which the load balancer sends no new connections
 * @param endMillis the time at which requests that still run are ended
 */
public record ShutdownSchedule(long drainedMillis, long endMillis) {

    /**
     * Returns whether a request that arrives now is accepted. After the load balancer has removed this entry, a request
     * that must not be repeated, or whose response is a stream, is accepted only if its deadline is before the end;
     * another entry can run it in full.
     *
     * @param route the route of the request
     * @param allowedMillis the time until the deadline of the request
     * @param nowMillis the current time
     */
    public boolean accepts(HostRoute route, long allowedMillis, long nowMillis) {
        boolean interruptible = route.repeatable() && !route.streaming();
        long requiredMillis = interruptible ? Math.min(route.latencyTargetMillis(), allowedMillis) : allowedMillis;
        return nowMillis < drainedMillis || requiredMillis <= endMillis - nowMillis;
    }
}
