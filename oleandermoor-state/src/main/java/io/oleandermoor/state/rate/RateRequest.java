package io.oleandermoor.state.rate;

import java.util.List;

/**
 * Request of an entry to a rate owner. A request without demands only keeps the session alive.
 *
 * @param client the process that sends the request
 * @param sequence number of the request; increases with each request of the process
 * @param term fencing number of the owner of the last accepted response, 0 if none
 * @param acceptedSequence sequence of the last accepted response of that owner; the entry never accepts another
 *     response with a sequence below that of this request
 * @param demands one element for each team with a change
 */
public record RateRequest(
        RateClientId client, long sequence, long term, long acceptedSequence, List<TeamDemand> demands) {

    /** Copies the demands into an immutable list. */
    public RateRequest {
        demands = List.copyOf(demands);
    }
}
