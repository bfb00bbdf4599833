package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Set;

/**
 * Differences between the current fleet state and the state that the last plan was computed for.
 *
 * @param models models that were added or whose demand, settings or adapters changed
 * @param upstreams engines that were added or removed or whose status changed
 */
public record FleetChange(Set<ModelName> models, Set<UpstreamId> upstreams) {

    /** Copies the sets. */
    public FleetChange {
        models = Set.copyOf(models);
        upstreams = Set.copyOf(upstreams);
    }
}
