package io.oleandermoor.state.residency;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state of a model engine on which the planner bases its decisions.
 *
 * @param id the identifier of the instance
 * @param failureDomain the failure domain in which the engine runs
 * @param readyForOrder whether the engine can be given an order now
 * @param models the models that the engine holds, with the adapters of each
 * @param load the number of requests assigned to the engine
 * @param incomingModel the model that the engine loads or frees memory for, empty if none
 * @param memoryFreed whether an unload was ordered to free memory for the incoming model, so that its load comes next
 * @param localWeights the models whose weights the engine has in its memory or on its disk, so that it can load them
 *     without the weight store
 * @param remainingVictims the held models that are still to be unloaded for the incoming model, in this order
 */
public record EngineView(
        String id,
        String failureDomain,
        boolean readyForOrder,
        Map<String, Set<String>> models,
        int load,
        String incomingModel,
        boolean memoryFreed,
        Set<String> localWeights,
        List<String> remainingVictims) {

    int adapterCount() {
        return models.values().stream().mapToInt(Set::size).sum();
    }
}
