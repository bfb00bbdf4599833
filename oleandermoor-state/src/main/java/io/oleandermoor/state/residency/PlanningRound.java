package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One decision over all engines of a service: what is known, and the orders decided so far. */
final class PlanningRound {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final List<EngineView> engines;
    private final Map<ModelTarget, DemandBoard.Demand> demands;
    private final long nowMillis;
    private final Map<String, ModelDemand> modelDemands = new HashMap<>();
    private final Map<String, Integer> copies = new HashMap<>();
    private final Set<String> ordered = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();
    private int storeLoads;

    /** The demand for a model and all of its adapters together. */
    static final class ModelDemand {

        private double smoothed;
        private double forecast;
        private int waiting;
        private int present;
        private long lastWantedMillis = NEVER;

        private void add(DemandBoard.Demand demand) {
            smoothed += demand.smoothed();
            forecast += demand.forecast();
            waiting += demand.waiting();
            present += demand.present();
            lastWantedMillis = Math.max(lastWantedMillis, demand.lastWantedMillis());
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

        int present() {
            return present;
        }

        long lastWantedMillis() {
            return lastWantedMillis;
        }
    }

    PlanningRound(
            Collection<EngineView> engines,
            Map<ModelTarget, DemandBoard.Demand> demands,
            int storeLoads,
            long nowMillis) {
        this.engines = List.copyOf(engines);
        this.demands = demands;
        this.storeLoads = storeLoads;
        this.nowMillis = nowMillis;
        demands.forEach((target, demand) -> modelDemands
                .computeIfAbsent(target.model(), key -> new ModelDemand())
                .add(demand));
        for (EngineView engine : engines) {
            engine.models().keySet().forEach(model -> copies.merge(model, 1, Integer::sum));
            if (!engine.incoming().isEmpty() && !engine.models().containsKey(engine.incoming())) {
                copies.merge(engine.incoming(), 1, Integer::sum);
            }
        }
    }

    List<EngineView> engines() {
        return engines;
    }

    long nowMillis() {
        return nowMillis;
    }

    Map<ModelTarget, DemandBoard.Demand> demands() {
        return demands;
    }

    /** Returns the models that were ever asked for. */
    Set<String> wantedModels() {
        return modelDemands.keySet();
    }

    ModelDemand demand(String model) {
        return modelDemands.getOrDefault(model, new ModelDemand());
    }

    /** Returns the engines that hold a model or will hold it. */
    int copies(String model) {
        return copies.getOrDefault(model, 0);
    }

    boolean mayOrder(EngineView engine) {
        return engine.orderable() && !ordered.contains(engine.id());
    }

    /** Returns whether a model may be loaded: its weights are at hand, or the weight store allows one more load. */
    boolean mayLoad(EngineView engine, String model) {
        return storeLoads > 0 || engine.weightsAtHand().contains(model);
    }

    void order(PlannedOrder order) {
        ordered.add(order.engine());
        orders.add(order);
    }

    /** Orders a load. */
    void load(EngineView engine, String model, String reason) {
        copies.merge(model, 1, Integer::sum);
        order(new PlannedOrder(
                engine.id(), false, new ModelTarget(model, ""), countLoad(engine, model), reason, model));
    }

    /** Orders that a model yields to another one, whose load follows. */
    void replace(EngineView engine, String victim, String model, String reason) {
        copies.merge(victim, -1, Integer::sum);
        copies.merge(model, 1, Integer::sum);
        // The load that follows is counted now, so that room is never made in vain.
        boolean fetch = countLoad(engine, model);
        order(new PlannedOrder(
                engine.id(), true, new ModelTarget(victim, ""), fetch, "yields to " + model + ", " + reason, model));
    }

    private boolean countLoad(EngineView engine, String model) {
        boolean fetch = !engine.weightsAtHand().contains(model);
        storeLoads -= fetch ? 1 : 0;
        return fetch;
    }

    List<PlannedOrder> orders() {
        return orders;
    }
}
