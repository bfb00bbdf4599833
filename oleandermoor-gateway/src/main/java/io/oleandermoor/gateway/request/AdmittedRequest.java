package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.CallerRequest;
import io.oleandermoor.state.dispatch.InstanceTable;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.QueueOrder;
import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.region.AllowedRegions;
import io.oleandermoor.state.version.VersionRequirement;
import java.util.Optional;
import java.util.Set;

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
    /** Bits of the hash of a request id from which its retry jitter is derived. */
    private static final int JITTER_MASK = 0xFFFF;

    /** Returns a number from 0 (inclusive) to 1 (exclusive) that spreads the retries of refused callers. */
    double retryJitter() {
        return (caller.id().hashCode() & JITTER_MASK) / (JITTER_MASK + 1.0);
    }

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

    /** Returns what determines the place of the request in the queue. */
    QueueOrder.Position position(long sequenceNumber, long arrivedMillis) {
        return new QueueOrder.Position(urgency(), sequenceNumber, targetMillis(arrivedMillis));
    }

    /** Returns what rules on instances take into account. */
    InstanceTable.Terms terms(long arrivedMillis) {
        return new InstanceTable.Terms(
                urgency(), targetMillis(arrivedMillis), allowedRegions(), VersionRequirement.NONE);
    }

    /**
     * Returns the key of the capacity that requests share: that of a model with its adapters, or of a plain service, in
     * the allowed regions.
     */
    String capacityKey() {
        return service + " " + target.map(ModelTarget::model).orElse("") + allowedRegions();
    }

    /** Returns the regions that both the route and the team allow; empty if both allow all. */
    private Set<String> allowedRegions() {
        return AllowedRegions.intersection(
                route.traits().allowedRegions(),
                team.map(TeamLimits::allowedRegions).orElse(Set.of()));
    }

    /** Returns why the request is refused, with the regions if they are the reason. */
    String refusalReason(InstanceTable.Shortage shortage) {
        String regions = shortage == InstanceTable.Shortage.NO_ALLOWED_INSTANCE ? " " + allowedRegions() : "";
        return "no_place_" + shortage + regions;
    }

    private long targetMillis(long arrivedMillis) {
        return arrivedMillis + route.latencyTargetMillis();
    }
}
