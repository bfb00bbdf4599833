package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.ModelProfile;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides the orders that engines get next. Answers demand that moves between models: a model that is asked for and
 * held by nobody is fetched first; a model whose copies are far more loaded than the average gets another one; what
 * yields is the model that is wanted least, never the last copy of one that is asked for as much as the new one.
 * Adapters follow the requests that wait for them.
 */
public final class ResidencyPlanner {

    /** Time without a request after which a model or adapter counts as idle. */
    private static final long IDLE_MILLIS = 1_500;
    /** Share of an engine's slots that a copy must exceed before another one is made. */
    private static final double BUSY_SHARE = 0.3;
    /**
     * Copies that a model with lasting demand has at least, while nothing else is missing; one may be lost any time.
     */
    private static final int SAFE_COPIES = 2;
    /** Requests that run or wait, on average, from which the demand for a model counts as lasting. */
    private static final double LASTING_DEMAND = 4;
    /** A last copy yields only if the demand for it is below this part of the new model's. */
    private static final double YIELD_RATIO = 0.5;
    /** Requests for one adapter per engine from which a further copy of it is made, as a share of the slots. */
    private static final double ADAPTER_SHARE = 0.15;
    /** Time for which a newly loaded adapter does not yield. */
    private static final long ADAPTER_REST_MILLIS = 300;

    /** Loss by a load from the weight store in place of one from the engine's own disk, in requests. */
    private static final double FETCH_LOSS = 16;
    /** Loss by each request of the engine, whose model has to wait for it before it yields. */
    private static final double LOAD_LOSS = 0.2;
    /** Loss of the last copy of a model that is no longer asked for, in requests; a load makes it good in seconds. */
    private static final double LAST_COPY_LOSS = 6;
    /** Loss of the last copy of a model that has not been asked for yet. */
    private static final double UNTRIED_LOSS = 9;

    private static final String YIELDS = "yields to ";

    private final EngineProfile profile;
    private final Map<String, Long> adapterLoaded = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param profile the abilities of the engines
     */
    public ResidencyPlanner(EngineProfile profile) {
        this.profile = profile;
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
            Map<ModelTarget, DemandBoard.Demand> demands,
            int storeLoads,
            long nowMillis) {
        Round round = new Round(engines, demands, storeLoads, nowMillis);
        round.dueLoads();
        round.models();
        round.adapters();
        return round.orders;
    }

    private double size(String model) {
        ModelProfile known = profile.models().get(model);
        return known == null ? 0 : known.megabytes();
    }

    private double used(EngineView engine) {
        double used = 0;
        for (Map.Entry<String, Set<String>> held : engine.models().entrySet()) {
            ModelProfile model = profile.models().get(held.getKey());
            if (model != null) {
                used += model.megabytes()
                        + model.adapterMegabytes() * held.getValue().size();
            }
        }
        return used;
    }

    /** The memory that adapters may take later is kept free, so that loading one never needs a model to yield. */
    private double adapterReserve() {
        double largest = profile.models().values().stream()
                .mapToDouble(ModelProfile::adapterMegabytes)
                .max()
                .orElse(0);
        return largest * profile.adapterSlots();
    }

    private boolean fits(EngineView engine, String model) {
        return fitsWithout(engine, "", model);
    }

    /** Returns whether a model fits once another one, if any, has yielded with its adapters. */
    private boolean fitsWithout(EngineView engine, String yielding, String model) {
        double adapters = 0;
        for (Map.Entry<String, Set<String>> held : engine.models().entrySet()) {
            ModelProfile known = profile.models().get(held.getKey());
            adapters += known == null
                    ? 0
                    : known.adapterMegabytes() * held.getValue().size();
        }
        double models = used(engine) - adapters - size(yielding);
        return models + adapterReserve() + size(model) <= profile.weightMegabytes();
    }

    /** One decision over all engines. */
    private final class Round {

        private final Collection<EngineView> engines;
        private final Map<ModelTarget, DemandBoard.Demand> demands;
        private final long nowMillis;
        private final Map<String, Double> modelDemand = new HashMap<>();
        private final Map<String, Integer> modelWaiting = new HashMap<>();
        private final Map<String, Long> modelWanted = new HashMap<>();
        private final Map<String, Integer> copies = new HashMap<>();
        private final Set<String> ordered = new HashSet<>();
        private final List<PlannedOrder> orders = new ArrayList<>();
        private int storeLoads;

        Round(
                Collection<EngineView> engines,
                Map<ModelTarget, DemandBoard.Demand> demands,
                int storeLoads,
                long nowMillis) {
            this.engines = engines;
            this.demands = demands;
            this.storeLoads = storeLoads;
            this.nowMillis = nowMillis;
            demands.forEach((target, demand) -> {
                modelDemand.merge(target.model(), demand.smoothed(), Double::sum);
                modelWaiting.merge(target.model(), demand.waiting(), Integer::sum);
                modelWanted.merge(target.model(), demand.lastWantedMillis(), Math::max);
            });
            for (EngineView engine : engines) {
                engine.models().keySet().forEach(model -> copies.merge(model, 1, Integer::sum));
                if (!engine.incoming().isEmpty()) {
                    copies.merge(engine.incoming(), 1, Integer::sum);
                }
            }
        }

        /** Loads the models for which room was made. */
        void dueLoads() {
            for (EngineView engine : engines) {
                String model = engine.incoming();
                if (engine.orderable()
                        && engine.roomMade()
                        && !engine.models().containsKey(model)
                        && fits(engine, model)) {
                    ordered.add(engine.id());
                    orders.add(new PlannedOrder(
                            engine.id(), false, new ModelTarget(model, ""), false, "room was made", model));
                }
            }
        }

        void models() {
            List<String> wanted = new ArrayList<>(modelDemand.keySet());
            wanted.removeIf(model -> !profile.models().containsKey(model) || idle(model));
            wanted.sort(Comparator.comparingDouble(this::pressure).reversed());
            for (String model : wanted) {
                int present = copies.getOrDefault(model, 0);
                double perCopy = demandOf(model) / Math.max(1, present);
                boolean missing = present == 0;
                boolean crowded = perCopy > BUSY_SHARE * profile.slots();
                boolean single = present < SAFE_COPIES && demandOf(model) > LASTING_DEMAND;
                if (missing || crowded || single) {
                    placeCopy(model, missing ? "held by nobody" : crowded ? "copies are crowded" : "single copy");
                }
            }
        }

        private double pressure(String model) {
            double missing = copies.getOrDefault(model, 0) == 0 ? profile.slots() : 0;
            return modelWaiting.getOrDefault(model, 0)
                    + missing
                    + demandOf(model) / Math.max(1, copies.getOrDefault(model, 0));
        }

        private boolean idle(String model) {
            return modelWanted.getOrDefault(model, Long.MIN_VALUE / 2) < nowMillis - IDLE_MILLIS;
        }

        private void placeCopy(String model, String reason) {
            Optional<Placement> best = engines.stream()
                    .filter(engine -> engine.orderable() && !ordered.contains(engine.id()))
                    .filter(engine -> !engine.models().containsKey(model))
                    .filter(engine -> storeLoads > 0 || engine.weightsAtHand().contains(model))
                    .flatMap(engine -> placement(engine, model).stream())
                    .min(Comparator.comparingDouble(Placement::cost));
            if (best.isEmpty()) {
                return;
            }
            EngineView engine = best.get().engine();
            ordered.add(engine.id());
            if (best.get().yielding().isPresent()) {
                String victim = best.get().yielding().get();
                copies.merge(victim, -1, Integer::sum);
                copies.merge(model, 1, Integer::sum);
                // The load that follows is counted now, so that room is never made in vain.
                boolean fetch = !engine.weightsAtHand().contains(model);
                storeLoads -= fetch ? 1 : 0;
                orders.add(new PlannedOrder(
                        engine.id(), true, new ModelTarget(victim, ""), fetch, YIELDS + model + ", " + reason, model));
                return;
            }
            copies.merge(model, 1, Integer::sum);
            boolean store = !engine.weightsAtHand().contains(model);
            storeLoads -= store ? 1 : 0;
            orders.add(new PlannedOrder(engine.id(), false, new ModelTarget(model, ""), store, reason, model));
        }

        private Optional<Placement> placement(EngineView engine, String model) {
            double slow = engine.weightsAtHand().contains(model) ? 0 : FETCH_LOSS;
            double load = engine.load() * LOAD_LOSS;
            if (fits(engine, model)) {
                return Optional.of(new Placement(engine, Optional.empty(), slow + load));
            }
            return engine.models().keySet().stream()
                    .filter(victim -> fitsWithout(engine, victim, model) && mayYield(victim, model))
                    .min(Comparator.comparingDouble(this::loss))
                    .map(victim -> new Placement(engine, Optional.of(victim), slow + load + loss(victim) + 1));
        }

        /** A copy of a model yields if others remain or if it is wanted much less than the new model. */
        private boolean mayYield(String victim, String model) {
            if (victim.equals(model)) {
                return false;
            }
            boolean missing = copies.getOrDefault(model, 0) == 0;
            int present = copies.getOrDefault(victim, 1);
            double demand = idle(victim) ? 0 : demandOf(victim);
            if (present <= 1) {
                return missing && demand < YIELD_RATIO * demandOf(model);
            }
            double left = demand / (present - 1);
            double gained = demandOf(model) / (copies.getOrDefault(model, 0) + 1);
            // Another copy must leave both models better off, or the two would take turns.
            return missing ? left < BUSY_SHARE * profile.slots() || left < demandOf(model) : left < gained;
        }

        /**
         * Returns what is lost if a copy yields: spare copies go first, then models that were asked for and no longer
         * are, then those that were never asked for, which may be the next ones, and last those in demand.
         */
        private double loss(String victim) {
            int present = copies.getOrDefault(victim, 1);
            double demand = idle(victim) ? 0 : demandOf(victim);
            if (present > 1) {
                return demand / (present - 1);
            }
            double last = modelWanted.containsKey(victim) ? LAST_COPY_LOSS : UNTRIED_LOSS;
            return idle(victim) ? last : UNTRIED_LOSS + demand;
        }

        void adapters() {
            List<ModelTarget> wanted = new ArrayList<>();
            demands.forEach((target, demand) -> {
                if (target.isAdapter()
                        && demand.present() > 0
                        && profile.models().containsKey(target.model())) {
                    wanted.add(target);
                }
            });
            wanted.sort(Comparator.<ModelTarget>comparingInt(target -> -waiting(target))
                    .thenComparing(ModelTarget::toString));
            for (ModelTarget target : wanted) {
                long held =
                        engines.stream().filter(engine -> holds(engine, target)).count();
                double perCopy = smoothed(target) / Math.max(1, held);
                if (held == 0 || waiting(target) > 0 || perCopy > ADAPTER_SHARE * profile.slots()) {
                    placeAdapter(target, held == 0 ? "held by nobody" : "copies are crowded");
                }
            }
        }

        private boolean holds(EngineView engine, ModelTarget target) {
            return engine.models().getOrDefault(target.model(), Set.of()).contains(target.adapter());
        }

        private void placeAdapter(ModelTarget target, String reason) {
            Optional<EngineView> engine = engines.stream()
                    .filter(each -> each.orderable() && !ordered.contains(each.id()))
                    .filter(each -> each.models().containsKey(target.model()) && !holds(each, target))
                    .filter(each -> each.adapterCount() < profile.adapterSlots()
                            || yieldingAdapter(each, target).isPresent())
                    .min(Comparator.comparingDouble(each ->
                            each.load() + (each.adapterCount() < profile.adapterSlots() ? 0 : profile.slots() * 0.1)));
            if (engine.isEmpty()) {
                return;
            }
            EngineView chosen = engine.get();
            ordered.add(chosen.id());
            if (chosen.adapterCount() < profile.adapterSlots()) {
                adapterLoaded.put(chosen.id() + " " + target, nowMillis);
                orders.add(new PlannedOrder(chosen.id(), false, target, false, reason, ""));
                return;
            }
            yieldingAdapter(chosen, target)
                    .ifPresent(victim -> orders.add(
                            new PlannedOrder(chosen.id(), true, victim, false, YIELDS + target + ", " + reason, "")));
        }

        /** Returns the adapter that was not asked for the longest, if it is wanted less than the new one. */
        private Optional<ModelTarget> yieldingAdapter(EngineView engine, ModelTarget wanted) {
            List<ModelTarget> held = new ArrayList<>();
            engine.models()
                    .forEach((model, adapters) ->
                            adapters.forEach(adapter -> held.add(new ModelTarget(model, adapter))));
            return held.stream()
                    .filter(target -> adapterLoaded.getOrDefault(engine.id() + " " + target, Long.MIN_VALUE / 2)
                            < nowMillis - ADAPTER_REST_MILLIS)
                    .filter(target -> present(target) == 0 || present(wanted) > present(target))
                    .min(Comparator.comparingLong(this::lastWanted));
        }

        private double demandOf(String model) {
            return modelDemand.getOrDefault(model, 0.0);
        }

        private int waiting(ModelTarget target) {
            DemandBoard.Demand demand = demands.get(target);
            return demand == null ? 0 : demand.waiting();
        }

        private double smoothed(ModelTarget target) {
            DemandBoard.Demand demand = demands.get(target);
            return demand == null ? 0 : demand.smoothed();
        }

        private int present(ModelTarget target) {
            DemandBoard.Demand demand = demands.get(target);
            return demand == null ? 0 : demand.present();
        }

        private long lastWanted(ModelTarget target) {
            DemandBoard.Demand demand = demands.get(target);
            return demand == null ? Long.MIN_VALUE / 2 : demand.lastWantedMillis();
        }
    }

    private record Placement(EngineView engine, Optional<String> yielding, double cost) {}
}
