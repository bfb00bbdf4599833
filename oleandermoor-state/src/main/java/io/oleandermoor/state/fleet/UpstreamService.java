package io.oleandermoor.state.fleet;

import java.util.Optional;

/**
 * A service whose instances are interchangeable.
 *
 * @param name the name of the service
 * @param connectionLimit the maximum number of connections that an instance accepts, over all clients
 * @param engine the profile of its model engines; empty for a plain service
 */
public record UpstreamService(String name, int connectionLimit, Optional<EngineProfile> engine) {}
