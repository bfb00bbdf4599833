package io.oleandermoor.state.configuration;

import io.oleandermoor.state.admission.WaitingRequest;
import io.oleandermoor.state.identity.TeamName;

/**
 * A team and its limits.
 *
 * @param name the name of the team
 * @param rate sustained rate in tokens (prompt and generated) per second over all instances
 * @param burst largest number of tokens that may be used at once beyond the rate
 * @param weight share of a contended upstream relative to other teams
 */
public record Team(TeamName name, long rate, long burst, int weight) {

    /**
     * Returns the weight of this team's waiting requests at an upstream: the rate times the weight.
     *
     * @return a number in 1..{@link WaitingRequest#MAXIMUM_WEIGHT_OR_TOKENS}
     */
    public long queueWeight() {
        return Math.min(WaitingRequest.MAXIMUM_WEIGHT_OR_TOKENS, Math.max(1, Math.min(WaitingRequest.MAXIMUM_WEIGHT_OR_TOKENS, rate) * weight));
    }
}
