package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.EngineProfile;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;

/**
 * Plans the next orders to engines, so that placement follows demand that shifts between models. Loads for which memory
 * was freed come first, then models, then adapters, with at most one order for each engine.
 */
public final class ResidencyPlanner {

    private final EngineMemory memory;
    private final ModelPlacement models;
    private final AdapterPlacement adapters;

    /**
     * Creates a planner.
     *
     * @param profile the capacity of the engines and the models that they can hold
     * @param options how models are placed on the engines
     */
    public ResidencyPlanner(EngineProfile profile, PlacementOptions options) {
        this.memory = new EngineMemory(profile);
        this.models = options.policy().create(profile, options.mechanisms());
        this.adapters = new AdapterPlacement(profile);
    }

    /** Creates a planner that uses all mechanisms. */
    public ResidencyPlanner(EngineProfile profile, ResidencyPolicy policy) {
        this(profile, new PlacementOptions(policy, EnumSet.allOf(PlacementMechanism.class)));
    }

    /**
     * Plans orders for models and adapters.
     *
     * @param engines all engines of the service that are not leaving
     * @param demands the demand for each target
     * @param storeLoads the number of loads from the weight store that may start now
     * @param nowMillis the current time
     * @return at most one order for each engine
     */
    public List<PlannedOrder> plan(
            Collection<EngineView> engines,
            Map<ModelTarget, DemandTracker.Demand> demands,
            int storeLoads,
            long nowMillis) {
        PlanningRound round = new PlanningRound(engines, demands, storeLoads, nowMillis);
        loadIncomingModels(round);
        models.place(round);
        adapters.place(round);
        return round.orders();
    }

    /**
     * Plans orders for adapters and for models for which memory was freed. This is cheaper than a full plan: it
     * examines few engines for each waiting request, while a full plan compares models with each other on all engines.
     *
     * @param engines all engines of the service that are not leaving
     * @param demands the demand for each target
     * @param nowMillis the current time
     * @return at most one order for each engine
     */
    public List<PlannedOrder> planAdapters(
            Collection<EngineView> engines, Map<ModelTarget, DemandTracker.Demand> demands, long nowMillis) {
        PlanningRound round = new PlanningRound(engines, demands, 0, nowMillis);
        loadIncomingModels(round);
        adapters.place(round);
        return round.orders();
    }

    /**
     * Orders the loads for which memory was freed, and the remaining evictions for them. The loads were counted when
     * the first eviction was ordered.
     */
    private void loadIncomingModels(PlanningRound round) {
        for (EngineView engine : round.engines()) {
            String model = engine.incomingModel();
            if (!engine.readyForOrder()
                    || !engine.memoryFreed()
                    || engine.models().containsKey(model)) {
                continue;
            }
            if (memory.fits(engine, model)) {
                round.addOrder(new PlannedOrder(
                        engine.id(), false, new ModelTarget(model, ""), false, "memory was freed", model));
            } else if (!engine.remainingVictims().isEmpty()) {
                List<String> victims = engine.remainingVictims();
                round.addOrder(new PlannedOrder(
                        engine.id(),
                        true,
                        new ModelTarget(victims.get(0), ""),
                        false,
                        "also evicted for " + model,
                        model,
                        victims.subList(1, victims.size())));
            }
        }
    }
}
