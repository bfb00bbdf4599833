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
record AdmittedRequest(
        CallerRequest caller,
        HostRoute route,
        Optional<TeamLimits> team,
        String service,
        Optional<ModelTarget> target) {

    /** Ranks of routes within one rank of a team. */
    private static final int PRIORITIES_PER_TEAM_PRIORITY = 3;

    /** Returns the rank, 0 is the highest; the rank of a team goes before that of the route. */
    int urgency() {
        int rank = route.priority();
        return team.filter(each -> each.priority().isPresent())
                .map(each -> each.priority().getAsInt() * PRIORITIES_PER_TEAM_PRIORITY
                        + Math.min(rank, PRIORITIES_PER_TEAM_PRIORITY - 1))
                .orElse(rank);
    }
}
