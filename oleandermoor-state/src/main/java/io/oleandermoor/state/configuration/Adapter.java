package io.oleandermoor.state.configuration;

import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;

/**
 * An adapter for a base model.
 *
 * @param name the name by which callers request the adapter
 * @param model the base model
 * @param version the version of the weights to serve
 * @param memoryMegabytes accelerator memory that each loaded copy occupies, in megabytes
 */
public record Adapter(AdapterName name, ModelName model, String version, long memoryMegabytes) {}
