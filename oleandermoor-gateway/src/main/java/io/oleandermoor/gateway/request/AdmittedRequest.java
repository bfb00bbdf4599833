package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.CallerRequest;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.TeamLimits;
import java.util.Optional;

/**
 * A request that passed admission and may be sent to an instance.
 *
 * @param caller the request as decoded from the caller
 * @param route the route that it matched
 * @param team the team that owns the key of the request; empty if the request has no known key
 * @param service the service that runs it
 * @param target the model or adapter that it needs; empty for a plain service, even if the caller names one
 */
record AdmittedRequest(
        CallerRequest caller,
        HostRoute route,
        Optional<TeamLimits> team,
        String service,
        Optional<ModelTarget> target) {

    /** Number of urgency levels for each priority of a team; the priority of the route selects the level. */
    private static final int PRIORITIES_PER_TEAM_PRIORITY = 3;

    /**
     * Returns the urgency, where 0 is the most urgent; the priority of the team takes precedence over that of the
     * route.
     */
    int urgency() {
        int routePriority = route.priority();
        return team.filter(each -> each.priority().isPresent())
                .map(each -> each.priority().getAsInt() * PRIORITIES_PER_TEAM_PRIORITY
                        + Math.min(routePriority, PRIORITIES_PER_TEAM_PRIORITY - 1))
                .orElse(routePriority);
    }
}
