package io.oleandermoor.state.configuration;

import io.oleandermoor.state.admission.WaitingRequest;
import io.oleandermoor.state.identity.TeamName;

/**
 * A team and its limits.
 *
 * @param name the name of the team
 * @param rate sustained rate in tokens (prompt and generated) per second, summed over all instances
 * @param burst maximum number of tokens that the team may use at once in excess of the rate
 * @param weight share of a contended upstream relative to other teams
 */
public record Team(TeamName name, long rate, long burst, int weight) {

    /**
     * Returns the weight of this team's requests in the queue of an upstream: the rate times the weight, limited to the
     * valid range.
     *
     * @return a number from 1 to {@link WaitingRequest#MAXIMUM_WEIGHT_OR_TOKENS}
     */
    public long queueWeight() {
        return Math.min(
                WaitingRequest.MAXIMUM_WEIGHT_OR_TOKENS,
                Math.max(1, Math.min(WaitingRequest.MAXIMUM_WEIGHT_OR_TOKENS, rate) * weight));
    }
}
