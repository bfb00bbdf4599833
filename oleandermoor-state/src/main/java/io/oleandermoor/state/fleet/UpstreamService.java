package io.oleandermoor.state.fleet;

import java.util.Optional;

/**
 * A service of equal instances.
 *
 * @param name the name of the service
 * @param connectionLimit the connections that an instance accepts from all callers together
 * @param engine what its instances can do as model engines; empty for a plain service
 */
public record UpstreamService(String name, int connectionLimit, Optional<EngineProfile> engine) {}
