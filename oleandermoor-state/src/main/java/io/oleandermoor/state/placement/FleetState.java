package io.oleandermoor.state.placement;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.identity.ModelName;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Input of placement: the engines, the configured models and adapters, and the demand. Immutable.
 *
 * @param engines the engines, sorted by identifier
 * @param models the configured models, sorted by name
 * @param adapters the configured adapters of configured models, sorted by name
 * @param demand the demand for each model; models without an entry have no demand
 */
public record FleetState(
        List<EngineState> engines, List<Model> models, List<Adapter> adapters, Map<ModelName, DemandEstimate> demand) {

    /** Sorts the lists, so that the plan does not depend on their order. */
    public FleetState {
        engines = sorted(engines, Comparator.comparing(EngineState::id), "engines");
        models = sorted(models, Comparator.comparing(Model::name), "models");
        adapters = sorted(adapters, Comparator.comparing(Adapter::name), "adapters");
        demand = Map.copyOf(demand);
    }

    /**
     * Creates the state of a fleet that serves a configuration.
     *
     * @param engines the engines
     * @param configuration the models and adapters
     * @param demand the demand for each model
     * @return the state of the fleet
     */
    public static FleetState of(
            Collection<EngineState> engines, Configuration configuration, Map<ModelName, DemandEstimate> demand) {
        return new FleetState(
                List.copyOf(engines),
                List.copyOf(configuration.models()),
                List.copyOf(configuration.adapters()),
                demand);
    }

    /**
     * Returns the demand for a model.
     *
     * @param model the name of the model
     * @return its demand, or {@link DemandEstimate#NONE} if it has no entry
     */
    public DemandEstimate demandOf(ModelName model) {
        return demand.getOrDefault(model, DemandEstimate.NONE);
    }

    private static <T> List<T> sorted(List<T> list, Comparator<T> order, String what) {
        List<T> result = list;
        for (int index = 1; index < result.size(); index++) {
            if (order.compare(result.get(index - 1), result.get(index)) >= 0) {
                result = list.stream().sorted(order).toList();
                break;
            }
        }
        for (int index = 1; index < result.size(); index++) {
            if (order.compare(result.get(index - 1), result.get(index)) == 0) {
                throw new IllegalArgumentException(what + " contains an element twice: " + result.get(index));
            }
        }
        return List.copyOf(result);
    }
}
