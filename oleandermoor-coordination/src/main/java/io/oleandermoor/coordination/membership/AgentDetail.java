package io.oleandermoor.coordination.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.ServiceName;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What an agent tells about its upstream. Immutable. */
public final class AgentDetail {

    private final UpstreamId upstream;
    private final @Nullable ServiceName service;
    private final Set<ModelName> readyModels;
    private final Set<AdapterName> readyAdapters;
    private final long memoryMegabytes;

    private AgentDetail(
            UpstreamId upstream,
            @Nullable ServiceName service,
            @Nullable Set<ModelName> readyModels,
            @Nullable Set<AdapterName> readyAdapters,
            long memoryMegabytes) {
        this.upstream = upstream;
        this.service = service;
        this.readyModels = readyModels == null ? Set.of() : Set.copyOf(readyModels);
        this.readyAdapters = readyAdapters == null ? Set.of() : Set.copyOf(readyAdapters);
        this.memoryMegabytes = memoryMegabytes;
    }

    /**
     * Describes an engine.
     *
     * @param upstream the engine
     * @param readyModels models that it can run now
     * @param readyAdapters adapters that it can run now
     * @param memoryMegabytes accelerator memory of the engine, in megabytes
     * @return the detail
     */
    public static AgentDetail engine(
            UpstreamId upstream, Set<ModelName> readyModels, Set<AdapterName> readyAdapters, long memoryMegabytes) {
        if (memoryMegabytes <= 0) {
            throw new IllegalArgumentException("memoryMegabytes must be positive: " + memoryMegabytes);
        }
        return new AgentDetail(upstream, null, readyModels, readyAdapters, memoryMegabytes);
    }

    /**
     * Describes a replica of a plain service.
     *
     * @param upstream the replica
     * @param service the service
     * @return the detail
     */
    public static AgentDetail service(UpstreamId upstream, ServiceName service) {
        return new AgentDetail(upstream, service, Set.of(), Set.of(), 0);
    }

    /**
     * Returns the upstream.
     *
     * @return the identifier
     */
    public UpstreamId upstream() {
        return upstream;
    }

    /**
     * Returns the plain service.
     *
     * @return the service, or empty for an engine
     */
    public Optional<ServiceName> service() {
        return Optional.ofNullable(service);
    }

    /**
     * Returns the models that the engine can run now.
     *
     * @return the models, empty for a plain service
     */
    public Set<ModelName> readyModels() {
        return readyModels;
    }

    /**
     * Returns the adapters that the engine can run now.
     *
     * @return the adapters, empty for a plain service
     */
    public Set<AdapterName> readyAdapters() {
        return readyAdapters;
    }

    /**
     * Returns the accelerator memory of the engine.
     *
     * @return megabytes, 0 for a plain service
     */
    public long memoryMegabytes() {
        return memoryMegabytes;
    }

    Json toJson() {
        return new Json(upstream, service, readyModels, readyAdapters, memoryMegabytes);
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof AgentDetail detail && detail.toJson().equals(toJson());
    }

    @Override
    public int hashCode() {
        return toJson().hashCode();
    }

    @Override
    public String toString() {
        return "AgentDetail[" + upstream + "]";
    }

    /** Form in the content of an item. */
    record Json(
            @JsonProperty("upstream") UpstreamId upstream,
            @JsonProperty("service") @Nullable ServiceName service,
            @JsonProperty("models") @Nullable Set<ModelName> models,
            @JsonProperty("adapters") @Nullable Set<AdapterName> adapters,
            @JsonProperty("memoryMegabytes") long memoryMegabytes) {

        AgentDetail toDetail() {
            return new AgentDetail(upstream, service, models, adapters, memoryMegabytes);
        }
    }
}
