package io.oleandermoor.state.configuration;

import io.oleandermoor.state.identity.ModelName;

/**
 * A model that must stay reachable.
 *
 * @param name the name by which callers request the model
 * @param version the version of the weights to serve
 * @param memoryMegabytes accelerator memory that each loaded copy occupies, in megabytes
 * @param minimumCopies minimum number of ready copies to keep
 */
public record Model(ModelName name, String version, long memoryMegabytes, int minimumCopies) {}
