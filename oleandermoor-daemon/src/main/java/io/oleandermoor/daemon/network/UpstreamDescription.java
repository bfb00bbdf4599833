package io.oleandermoor.daemon.network;

import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.routing.RouteTarget;
import io.oleandermoor.state.routing.UpstreamRecord;
import io.oleandermoor.state.routing.UpstreamStatus;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What an agent announces about its upstream.
 *
 * @param instance the agent's instance
 * @param upstream the upstream's identifier
 * @param service name of the plain service, or empty for an engine
 * @param failureDomain the failure domain
 * @param leaving whether new work is refused
 * @param incarnation start time of the agent in milliseconds since the epoch
 * @param sequence number of the announcement within the incarnation
 * @param memoryMegabytes accelerator memory of an engine, 0 for a plain service
 * @param models models that are ready, empty for a plain service
 * @param adapters adapters that are ready together with their base model
 */
public record UpstreamDescription(
        String instance,
        String upstream,
        String service,
        String failureDomain,
        boolean leaving,
        long incarnation,
        long sequence,
        long memoryMegabytes,
        List<String> models,
        List<String> adapters) {

    /** Prefix of the names of items with descriptions. */
    public static final String ITEM_PREFIX = "upstream/";

    /** Copies the lists. */
    public UpstreamDescription {
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
    }

    /**
     * Returns the description as routing needs it.
     *
     * @return the record
     */
    public UpstreamRecord toRecord() {
        Set<RouteTarget> ready = new HashSet<>();
        if (!service.isEmpty()) {
            ready.add(new RouteTarget.OfService(new ServiceName(service)));
        }
        models.forEach(model -> ready.add(new RouteTarget.OfModel(new ModelName(model))));
        adapters.forEach(adapter -> ready.add(new RouteTarget.OfAdapter(new AdapterName(adapter))));
        return new UpstreamRecord(
                new UpstreamId(upstream),
                new FailureDomain(failureDomain),
                incarnation,
                sequence,
                leaving ? UpstreamStatus.LEAVING : UpstreamStatus.READY,
                ready);
    }

    /**
     * Returns whether this description replaces another one of the same upstream.
     *
     * @param other the other description
     * @return true if this one is newer
     */
    public boolean isNewerThan(UpstreamDescription other) {
        return incarnation > other.incarnation || (incarnation == other.incarnation && sequence > other.sequence);
    }
}
