package io.oleandermoor.state.configuration;

import io.oleandermoor.state.identity.ModelName;

/**
 * A model that must stay reachable.
 *
 * @param name the name by which callers ask for the model
 * @param version the version of the weights to serve
 * @param memoryMegabytes accelerator memory that one loaded copy takes, in megabytes
 * @param minimumCopies least number of ready copies to keep
 */
public record Model(ModelName name, String version, long memoryMegabytes, int minimumCopies) {}
