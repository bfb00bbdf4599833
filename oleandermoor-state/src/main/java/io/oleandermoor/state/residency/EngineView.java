package io.oleandermoor.state.residency;

import java.util.Map;
import java.util.Set;

/**
 * A model engine as the planner sees it.
 *
 * @param id the instance
 * @param failureDomain where it runs
 * @param readyForOrder whether it can be given an order now
 * @param models the adapters of each model that it holds
 * @param load the requests that it has
 * @param incomingModel the model that it loads or makes room for, empty if none
 * @param memoryFreed whether the room for the incoming model has been made, so that its load is due
 * @param localWeights the models whose weights it has at hand, so that a load does not need the weight store
 */
public record EngineView(
        String id,
        String failureDomain,
        boolean readyForOrder,
        Map<String, Set<String>> models,
        int load,
        String incomingModel,
        boolean memoryFreed,
        Set<String> localWeights) {

    int adapterCount() {
        return models.values().stream().mapToInt(Set::size).sum();
    }
}
