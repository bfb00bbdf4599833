package io.oleandermoor.state.fleet;

import java.util.Optional;

/**
 * A service whose instances are interchangeable.
 *
 * @param name the name of the service
 * @param connectionLimit the maximum number of connections that an instance accepts, over all clients
 * @param engine the profile of its model engines; empty for a plain service
 * @param coldStart how its instances behave after they start; empty if they are never cold
 */
public record UpstreamService(
        String name, int connectionLimit, Optional<EngineProfile> engine, Optional<ColdStartProfile> coldStart) {

    /** Creates a service whose instances are never cold. */
    public UpstreamService(String name, int connectionLimit, Optional<EngineProfile> engine) {
        this(name, connectionLimit, engine, Optional.empty());
    }
}
