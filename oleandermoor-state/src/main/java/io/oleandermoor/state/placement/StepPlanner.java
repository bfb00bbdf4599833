package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Computes the steps that lead from the present state to a plan and can be taken now. To be called again whenever the
 * state has changed. The steps are safe in their order and in any other:
 *
 * <ul>
 *   <li>Loads fit into memory that is free now, while everything resident or in progress stays.
 *   <li>An unload leaves another ready copy of the model or adapter, which no other step unloads. Unwanted copies stay
 *       until all wanted copies are ready, unless their memory is needed for a load.
 *   <li>An adapter is loaded only beside its ready base model, and a base model is unloaded after its adapters.
 * </ul>
 *
 * <p>Loads come in the order of repair: models without a copy, models with one copy, others; in each group the model
 * with most demand first. Copies being loaded count as copies.
 */
public final class StepPlanner {
    private final PlacementPlan plan;
    private final FleetState state;
    private final Residents residents;
    private final Map<UpstreamId, Long> free = new HashMap<>();
    private final Map<UpstreamId, Long> missing = new HashMap<>();
    private final Map<UpstreamId, Integer> blockedClass = new HashMap<>();
    private final Map<ModelName, Integer> unreadyWanted = new HashMap<>();
    private final List<PlacementStep> steps = new ArrayList<>();

    private StepPlanner(PlacementPlan plan, FleetState state) {
        this.plan = plan;
        this.state = state;
        residents = new Residents(plan, state);
    }

    /**
     * Computes the steps that can be taken now.
     *
     * @param plan the plan to reach
     * @param state the present state; orders that were sent but are not confirmed appear as loading or unloading
     * @param limits loads that may be started
     * @return the steps, loads before unloads
     */
    public static List<PlacementStep> steps(PlacementPlan plan, FleetState state, StepLimits limits) {
        StepPlanner planner = new StepPlanner(plan, state);
        planner.load(limits);
        planner.unload();
        return List.copyOf(planner.steps);
    }

    private record Candidate(EngineState engine, Weights weights, int copies, double demand) {
        private static final Comparator<Candidate> ORDER = Comparator.comparingInt(Candidate::repairClass)
                .thenComparing(Comparator.comparingDouble(Candidate::demand).reversed())
                .thenComparing(Candidate::weights, Weights.ORDER)
                .thenComparing(candidate -> candidate.engine().id());

        int repairClass() {
            return Math.min(2, copies);
        }
    }

    private void load(StepLimits limits) {
        PriorityQueue<Candidate> candidates = new PriorityQueue<>(Candidate.ORDER);
        for (EngineState engine : state.engines()) {
            if (engine.status() == EngineStatus.LIVE) {
                free.put(engine.id(), engine.freeMegabytes());
                addCandidates(engine, candidates);
            }
        }
        int modelLoads = limits.modelLoads();
        int adapterLoads = limits.adapterLoads();
        while (!candidates.isEmpty()) {
            Candidate candidate = candidates.remove();
            if (candidate.copies() != residents.presentCopies(candidate.weights())) {
                candidates.add(candidate(candidate.engine(), candidate.weights()));
                continue;
            }
            boolean isAdapter = candidate.weights().isAdapter();
            // Memory is set aside even when the limit is reached, so that later loads do not take it.
            boolean fits = setMemoryAside(candidate);
            if (fits && (isAdapter ? adapterLoads : modelLoads) > 0) {
                adapterLoads -= isAdapter ? 1 : 0;
                modelLoads -= isAdapter ? 0 : 1;
                residents.addPresent(candidate.weights());
                steps.add(new PlacementStep(
                        Order.Kind.LOAD,
                        candidate.engine().id(),
                        candidate.weights(),
                        residents.memory(candidate.weights()),
                        Optional.empty()));
            }
        }
    }

    private void addCandidates(EngineState engine, PriorityQueue<Candidate> candidates) {
        PlacementPlan.Wanted wanted = plan.wanted(engine.id());
        for (ModelVersion model : wanted.models()) {
            Optional<Residency> residency = residency(engine, model);
            if (residency.isEmpty() && residents.isConfigured(model)) {
                candidates.add(candidate(engine, model));
            }
            if (residency.isEmpty() || residency.get() != Residency.READY) {
                unreadyWanted.merge(model.name(), 1, Integer::sum);
            }
        }
        for (Weights adapter : wanted.adapters()) {
            boolean baseReady = residents
                    .base(adapter)
                    .filter(base -> canCarryAdapter(engine, base))
                    .isPresent();
            if (baseReady && residency(engine, adapter).isEmpty()) {
                candidates.add(candidate(engine, adapter));
            }
        }
    }

    private Candidate candidate(EngineState engine, Weights weights) {
        double demand = residents
                .base(weights)
                .map(base -> Math.max(
                        state.demandOf(base).present(), state.demandOf(base).forecast()))
                .orElse(0.0);
        return new Candidate(engine, weights, residents.presentCopies(weights), demand);
    }

    /**
     * Takes memory for a load. A load that does not fit yet keeps less urgent ones from the free memory of its engine.
     * Loads of equal urgency do not wait, because a plan never wants more than fits.
     */
    private boolean setMemoryAside(Candidate candidate) {
        UpstreamId upstream = candidate.engine().id();
        long memory = residents.memory(candidate.weights());
        long left = free.getOrDefault(upstream, 0L);
        int repairClass = candidate.repairClass();
        boolean yields = repairClass > blockedClass.getOrDefault(upstream, repairClass);
        if (yields || left < memory) {
            missing.merge(upstream, memory, Long::sum);
            blockedClass.putIfAbsent(upstream, repairClass);
            return false;
        }
        free.put(upstream, left - memory);
        return true;
    }

    private void unload() {
        for (EngineState engine : state.engines()) {
            if (engine.status() == EngineStatus.LIVE) {
                unload(engine);
            }
        }
    }

    private void unload(EngineState engine) {
        long needed = missing.getOrDefault(engine.id(), 0L) - free.getOrDefault(engine.id(), 0L);
        for (EngineListing.Entry resident : engine.residents()) {
            needed -= resident.residency() == Residency.UNLOADING ? resident.memoryMegabytes() : 0;
        }
        List<EngineListing.Entry> unwanted = new ArrayList<>();
        for (EngineListing.Entry resident : engine.residents()) {
            if (resident.residency() == Residency.READY && !Residents.isWanted(plan, engine, resident.weights())) {
                unwanted.add(resident);
            }
        }
        // Adapters come first because a base model has to wait for them; then what has most other copies.
        unwanted.sort(Comparator.comparing(
                        (EngineListing.Entry entry) -> !entry.weights().isAdapter())
                .thenComparing(entry -> -residents.ready(entry.weights()).size())
                .thenComparing(EngineListing.Entry::weights, Weights.ORDER));
        for (EngineListing.Entry entry : unwanted) {
            if ((needed > 0 || isReplaced(entry.weights())) && unload(engine, entry)) {
                needed -= entry.memoryMegabytes();
            }
        }
    }

    /** Returns whether all wanted copies are ready, so that an unwanted one serves no purpose. */
    private boolean isReplaced(Weights weights) {
        return !residents.isConfigured(weights)
                || residents
                        .base(weights)
                        .filter(base -> unreadyWanted.getOrDefault(base, 0) > 0)
                        .isEmpty();
    }

    private boolean unload(EngineState engine, EngineListing.Entry entry) {
        Weights weights = entry.weights();
        Optional<Residents.Copy> retained = residents.retained(engine, weights);
        if (retained.isEmpty() && residents.isConfigured(weights)) {
            return false;
        }
        if (weights instanceof ModelVersion version && !isOtherVersionReady(engine, version)) {
            List<EngineListing.Entry> dependent = dependentAdapters(engine, version.name());
            if (!dependent.isEmpty()) {
                unloadForModel(engine, dependent);
                return false;
            }
        }
        residents.removeReady(engine, weights);
        steps.add(new PlacementStep(
                Order.Kind.UNLOAD,
                engine.id(),
                weights,
                entry.memoryMegabytes(),
                retained.map(copy -> copy.engine().id())));
        return true;
    }

    /**
     * Unloads the adapters of a base model that has to go, even if they are wanted again beside the next version. All
     * of them are unloaded or none: otherwise two engines could each keep the last copy of an adapter that the other
     * has given up, and neither could change the version.
     */
    private void unloadForModel(EngineState engine, List<EngineListing.Entry> adapters) {
        List<EngineListing.Entry> ready = adapters.stream()
                .filter(adapter -> residents.ready(adapter.weights()).stream()
                        .anyMatch(copy -> copy.engine().id().equals(engine.id())))
                .toList();
        boolean loading = adapters.stream().anyMatch(adapter -> adapter.residency() == Residency.LOADING);
        boolean retained = ready.stream()
                .allMatch(
                        adapter -> residents.retained(engine, adapter.weights()).isPresent());
        if (!loading && retained) {
            ready.forEach(adapter -> unload(engine, adapter));
        }
    }

    private boolean isOtherVersionReady(EngineState engine, ModelVersion version) {
        return residents.ready(version).stream()
                .anyMatch(copy -> copy.engine().id().equals(engine.id())
                        && !copy.weights().equals(version));
    }

    private List<EngineListing.Entry> dependentAdapters(EngineState engine, ModelName model) {
        return engine.residents().stream()
                .filter(resident -> resident.weights().isAdapter())
                .filter(resident -> residents.base(resident.weights()).equals(Optional.of(model)))
                .toList();
    }

    private static Optional<Residency> residency(EngineState engine, Weights weights) {
        return engine.residents().stream()
                .filter(resident -> resident.weights().equals(weights))
                .map(EngineListing.Entry::residency)
                .findFirst();
    }

    /**
     * Returns whether an adapter of the model can be loaded. A base model of an old version is about to be unloaded;
     * beside it, adapters are loaded only while it cannot go because it carries the last copy of one of them.
     */
    private boolean canCarryAdapter(EngineState engine, ModelName model) {
        List<Weights> versions = engine.residents().stream()
                .filter(resident -> resident.residency() == Residency.READY)
                .map(EngineListing.Entry::weights)
                .filter(weights -> weights instanceof ModelVersion version
                        && version.name().equals(model))
                .toList();
        return versions.stream().anyMatch(version -> Residents.isWanted(plan, engine, version))
                || (!versions.isEmpty() && carriesLastAdapter(engine, model));
    }

    private boolean carriesLastAdapter(EngineState engine, ModelName model) {
        return dependentAdapters(engine, model).stream()
                .anyMatch(adapter -> adapter.residency() == Residency.READY
                        && residents.retained(engine, adapter.weights()).isEmpty());
    }
}
