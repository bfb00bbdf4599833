package io.oleandermoor.daemon.rate;

import io.oleandermoor.state.rate.RateRequest;

/** Sends requests to the rate owners. Safe for use by several threads. */
@FunctionalInterface
public interface RateLink {

    /**
     * Sends a request to the present owner of a group, if one is known.
     *
     * @param group the group
     * @param request the request
     * @return false if no owner is known or connected
     */
    boolean send(int group, RateRequest request);
}
