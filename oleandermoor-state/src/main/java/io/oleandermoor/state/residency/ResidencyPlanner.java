package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.EngineProfile;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Decides the orders that engines get next. Answers demand that moves between models: loads for which room was made
 * come first, then models, then adapters, at most one order for each engine.
 */
public final class ResidencyPlanner {

    private final EngineMemory memory;
    private final ModelPlacement models;
    private final AdapterPlacement adapters;

    /**
     * Creates a planner.
     *
     * @param profile the abilities of the engines
     * @param policy how models are spread
     */
    public ResidencyPlanner(EngineProfile profile, ResidencyPolicy policy) {
        this.memory = new EngineMemory(profile);
        this.models = policy.create(profile);
        this.adapters = new AdapterPlacement(profile);
    }

    /**
     * Decides.
     *
     * @param engines all engines of the service that are not leaving
     * @param demands the demand for each target
     * @param storeLoads the loads from the weight store that may start now
     * @param nowMillis the time
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
     * Decides on adapters only, and on the models for which room was made. This looks at few engines for each request
     * that waits, while models are weighed against each other on all engines.
     *
     * @param engines all engines of the service that are not leaving
     * @param demands the demand for each target
     * @param nowMillis the time
     * @return at most one order for each engine
     */
    public List<PlannedOrder> planAdapters(
            Collection<EngineView> engines, Map<ModelTarget, DemandTracker.Demand> demands, long nowMillis) {
        PlanningRound round = new PlanningRound(engines, demands, 0, nowMillis);
        loadIncomingModels(round);
        adapters.place(round);
        return round.orders();
    }

    /** Loads the models for which room was made; their loads were counted when the room was ordered. */
    private void loadIncomingModels(PlanningRound round) {
        for (EngineView engine : round.engines()) {
            String model = engine.incomingModel();
            if (engine.readyForOrder()
                    && engine.memoryFreed()
                    && !engine.models().containsKey(model)
                    && memory.fits(engine, model)) {
                round.addOrder(new PlannedOrder(
                        engine.id(), false, new ModelTarget(model, ""), false, "room was made", model));
            }
        }
    }
}
