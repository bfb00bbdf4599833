package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Set;

/**
 * What differs from the state of the last plan.
 *
 * @param models models whose demand, settings or adapters changed, or that are new
 * @param upstreams engines that came, left, or whose status changed
 */
public record FleetChange(Set<ModelName> models, Set<UpstreamId> upstreams) {

    /** Copies the sets. */
    public FleetChange {
        models = Set.copyOf(models);
        upstreams = Set.copyOf(upstreams);
    }
}
