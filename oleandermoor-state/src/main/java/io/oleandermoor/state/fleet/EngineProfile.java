package io.oleandermoor.state.fleet;

import java.util.Map;

/**
 * The capacities of the model engines of a service.
 *
 * @param slots the number of requests that an instance runs concurrently
 * @param kvCacheTokens the capacity in tokens for running requests and cached prompts
 * @param weightMemoryMegabytes the memory for the weights of models and adapters
 * @param adapterSlots the maximum number of adapters that an instance holds
 * @param storeLoadsPerSecond the maximum rate of loads from the weight store, over all instances
 * @param models the models by name
 */
public record EngineProfile(
        int slots,
        long kvCacheTokens,
        double weightMemoryMegabytes,
        int adapterSlots,
        double storeLoadsPerSecond,
        Map<String, ModelProfile> models) {

    /** Copies the models. */
    public EngineProfile {
        models = Map.copyOf(models);
    }
}
