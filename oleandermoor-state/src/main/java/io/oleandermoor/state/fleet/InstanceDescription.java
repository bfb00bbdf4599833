package io.oleandermoor.state.fleet;

import java.util.OptionalLong;

/**
 * What an instance writes to the platform's store about itself and its current state.
 *
 * @param instance the instance
 * @param coldRemainingMillis the time for which it is still cold, 0 if it is not; empty if it does not say
 */
public record InstanceDescription(UpstreamInstance instance, OptionalLong coldRemainingMillis) {}
