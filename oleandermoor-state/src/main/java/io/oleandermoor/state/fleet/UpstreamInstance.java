package io.oleandermoor.state.fleet;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * An instance of a service as it describes itself in the platform's store.
 *
 * @param id the identifier of this start of the instance
 * @param service the service that it belongs to
 * @param host the address as an IP number
 * @param port the TCP port
 * @param failureDomain where it runs
 * @param slots the number of requests that it runs at once
 * @param draining whether it is leaving
 * @param remainingMillis the time until it is gone, if it leaves at short notice
 * @param models the adapters that it holds for each model that it holds
 * @param modelsWithLocalWeights the models whose weights it has in its own memory or on its own disk
 * @param startedMillis its start in milliseconds since the epoch; tells two starts under one identifier apart
 */
public record UpstreamInstance(
        String id,
        String service,
        String host,
        int port,
        String failureDomain,
        int slots,
        boolean draining,
        OptionalLong remainingMillis,
        Map<String, Set<String>> models,
        Set<String> modelsWithLocalWeights,
        long startedMillis) {

    /** Copies the models. */
    public UpstreamInstance {
        models = Map.copyOf(models);
        modelsWithLocalWeights = Set.copyOf(modelsWithLocalWeights);
    }
}
