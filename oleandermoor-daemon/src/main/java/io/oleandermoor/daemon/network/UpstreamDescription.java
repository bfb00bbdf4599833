package io.oleandermoor.daemon.network;

import java.util.List;

/**
 * What an agent announces about its upstream.
 *
 * @param instance the agent's instance
 * @param upstream the upstream's identifier
 * @param service name of the plain service, or empty for an engine
 * @param failureDomain the failure domain
 * @param leaving whether new work is refused
 * @param models models and adapters that are ready, empty for a plain service
 */
public record UpstreamDescription(
        String instance, String upstream, String service, String failureDomain, boolean leaving, List<String> models) {

    /** Prefix of the names of items with descriptions. */
    public static final String ITEM_PREFIX = "upstream/";

    /** Copies the list. */
    public UpstreamDescription {
        models = List.copyOf(models);
    }

    /**
     * Returns what the upstream answers for.
     *
     * @return the models and adapters of an engine, or the service
     */
    public List<String> targets() {
        return service.isEmpty() ? models : List.of(service);
    }
}
