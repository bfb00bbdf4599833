package io.oleandermoor.state.fleet;

import io.oleandermoor.state.version.SoftwareVersion;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * An instance of a service, as it describes itself in the platform's store.
 *
 * @param id the identifier of the instance
 * @param service the name of its service
 * @param host the IP address
 * @param port the TCP port
 * @param failureDomain the failure domain in which it runs
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it accepts no new requests because it is about to stop
 * @param remainingMillis the time until it stops, if it was given short notice
 * @param models the held models, each with its held adapters
 * @param modelsWithLocalWeights the models whose weights are in its memory or on its local disk
 * @param startedMillis its start time in milliseconds since the epoch; distinguishes restarts under the same identifier
 * @param softwareVersion the version of its software
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
        long startedMillis,
        SoftwareVersion softwareVersion) {

    /** Copies the collections. */
    public UpstreamInstance {
        models = Map.copyOf(models);
        modelsWithLocalWeights = Set.copyOf(modelsWithLocalWeights);
    }

    /** Returns this instance as one that accepts no new requests. */
    public UpstreamInstance asDraining() {
        return new UpstreamInstance(
                id,
                service,
                host,
                port,
                failureDomain,
                slots,
                true,
                remainingMillis,
                models,
                modelsWithLocalWeights,
                startedMillis,
                softwareVersion);
    }
}
