package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The input of one planning run over all engines of a service, and the orders planned so far. */
final class PlanningRound {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final List<EngineView> engines;
    private final Map<ModelTarget, DemandTracker.Demand> demands;
    private final long nowMillis;
    private final Map<String, AggregateDemand> modelDemands = new HashMap<>();
    private final Map<String, Integer> copies = new HashMap<>();
    private final Set<String> enginesWithOrder = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();
    private int remainingStoreLoads;

    /** The demand for a model and all of its adapters together. */
    static final class AggregateDemand {

        private double smoothed;
        private double forecast;
        private int waiting;
        private int current;
        private long lastRequestedMillis = NEVER;

        private void add(DemandTracker.Demand demand) {
            smoothed += demand.smoothed();
            forecast += demand.forecast();
            waiting += demand.waiting();
            current += demand.current();
            lastRequestedMillis = Math.max(lastRequestedMillis, demand.lastRequestedMillis());
        }

        double smoothed() {
            return smoothed;
        }

        double forecast() {
            return forecast;
        }

        int waiting() {
            return waiting;
        }

        int current() {
            return current;
        }

        long lastRequestedMillis() {
            return lastRequestedMillis;
        }
    }

    PlanningRound(
            Collection<EngineView> engines,
            Map<ModelTarget, DemandTracker.Demand> demands,
            int remainingStoreLoads,
            long nowMillis) {
        this.engines = List.copyOf(engines);
        this.demands = demands;
        this.remainingStoreLoads = remainingStoreLoads;
        this.nowMillis = nowMillis;
        demands.forEach((target, demand) -> modelDemands
                .computeIfAbsent(target.model(), key -> new AggregateDemand())
                .add(demand));
        for (EngineView engine : engines) {
            engine.models().keySet().stream()
                    .filter(model -> !engine.remainingVictims().contains(model))
                    .forEach(model -> copies.merge(model, 1, Integer::sum));
            if (!engine.incomingModel().isEmpty() && !engine.models().containsKey(engine.incomingModel())) {
                copies.merge(engine.incomingModel(), 1, Integer::sum);
            }
        }
    }

    List<EngineView> engines() {
        return engines;
    }

    long nowMillis() {
        return nowMillis;
    }

    Map<ModelTarget, DemandTracker.Demand> demands() {
        return demands;
    }

    /** Returns the models that ever had a request, directly or through an adapter. */
    Set<String> requestedModels() {
        return modelDemands.keySet();
    }

    AggregateDemand demand(String model) {
        return modelDemands.getOrDefault(model, new AggregateDemand());
    }

    /** Returns the number of engines that hold a model or are about to load it. */
    int copies(String model) {
        return copies.getOrDefault(model, 0);
    }

    boolean isAvailable(EngineView engine) {
        return engine.readyForOrder() && !enginesWithOrder.contains(engine.id());
    }

    /** Returns whether an engine may load a model: it has the weights locally, or the store allows another load. */
    boolean mayLoad(EngineView engine, String model) {
        return remainingStoreLoads > 0 || engine.localWeights().contains(model);
    }

    void addOrder(PlannedOrder order) {
        enginesWithOrder.add(order.engine());
        orders.add(order);
    }

    /** Adds an order to load a model. */
    void orderLoad(EngineView engine, String model, String reason) {
        copies.merge(model, 1, Integer::sum);
        addOrder(new PlannedOrder(
                engine.id(), false, new ModelTarget(model, ""), reserveStoreLoad(engine, model), reason, model));
    }

    /** Adds an order to unload the first of some models in favor of another one, which is loaded after the last. */
    void orderReplacement(EngineView engine, List<String> victims, String model, String reason) {
        victims.forEach(victim -> copies.merge(victim, -1, Integer::sum));
        copies.merge(model, 1, Integer::sum);
        // The load that follows is counted now, so that no model is evicted for a load that the store does not allow.
        boolean fromStore = reserveStoreLoad(engine, model);
        addOrder(new PlannedOrder(
                engine.id(),
                true,
                new ModelTarget(victims.get(0), ""),
                fromStore,
                "evicted for " + model + ", " + reason,
                model,
                victims.subList(1, victims.size())));
    }

    private boolean reserveStoreLoad(EngineView engine, String model) {
        boolean fromStore = !engine.localWeights().contains(model);
        remainingStoreLoads -= fromStore ? 1 : 0;
        return fromStore;
    }

    List<PlannedOrder> orders() {
        return orders;
    }
}
