package io.oleandermoor.state.fleet;

import java.util.Map;

/**
 * The abilities of the model engines of a service.
 *
 * @param slots the number of requests that one instance runs at once
 * @param kvCacheTokens the tokens that running requests and cached prompts may take
 * @param weightMemoryMegabytes the memory for models and adapters
 * @param adapterSlots the number of adapters that an instance holds
 * @param storeLoadsPerSecond the loads that the weight store allows, over all instances
 * @param models the models by their names
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
