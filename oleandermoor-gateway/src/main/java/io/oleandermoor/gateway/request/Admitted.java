package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.CallerRequest;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.TeamLimits;
import java.util.Optional;

/**
 * A request that may be sent.
 *
 * @param caller what the caller states
 * @param route its route
 * @param team the team whose key came with it
 * @param service the service that runs it
 * @param target the model or adapter that it needs; empty for a plain service, whatever the caller states
 */
record Admitted(
        CallerRequest caller,
        HostRoute route,
        Optional<TeamLimits> team,
        String service,
        Optional<ModelTarget> target) {

    /** Ranks of routes within one rank of a team. */
    private static final int TEAM_RANK_WEIGHT = 3;

    /** Returns the rank, 0 is the highest; the rank of a team goes before that of the route. */
    int urgency() {
        int rank = route.priority();
        return team.filter(each -> each.priority().isPresent())
                .map(each -> each.priority().getAsInt() * TEAM_RANK_WEIGHT + Math.min(rank, TEAM_RANK_WEIGHT - 1))
                .orElse(rank);
    }
}
