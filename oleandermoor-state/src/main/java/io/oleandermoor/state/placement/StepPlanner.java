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
    private final CopyIndex copyIndex;
    private final Map<UpstreamId, Long> freeMegabytes = new HashMap<>();
    private final Map<UpstreamId, Long> deferredMegabytes = new HashMap<>();
    private final Map<UpstreamId, Integer> reservingPriorityClass = new HashMap<>();
    private final Map<ModelName, Integer> unreadyAssigned = new HashMap<>();
    private final List<PlacementStep> steps = new ArrayList<>();

    private StepPlanner(PlacementPlan plan, FleetState state) {
        this.plan = plan;
        this.state = state;
        copyIndex = new CopyIndex(plan, state);
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
        planner.planLoads(limits);
        planner.unload();
        return List.copyOf(planner.steps);
    }

    private record LoadCandidate(EngineState engine, Weights weights, int copies, double demand) {
        private static final Comparator<LoadCandidate> ORDER = Comparator.comparingInt(LoadCandidate::priorityClass)
                .thenComparing(Comparator.comparingDouble(LoadCandidate::demand).reversed())
                .thenComparing(LoadCandidate::weights, Weights.ORDER)
                .thenComparing(candidate -> candidate.engine().id());

        int priorityClass() {
            return Math.min(2, copies);
        }
    }

    private void planLoads(StepLimits limits) {
        PriorityQueue<LoadCandidate> candidates = new PriorityQueue<>(LoadCandidate.ORDER);
        for (EngineState engine : state.engines()) {
            if (engine.status() == EngineStatus.LIVE) {
                freeMegabytes.put(engine.id(), engine.freeMegabytes());
                addCandidates(engine, candidates);
            }
        }
        int modelLoads = limits.modelLoads();
        int adapterLoads = limits.adapterLoads();
        while (!candidates.isEmpty()) {
            LoadCandidate candidate = candidates.remove();
            if (candidate.copies() != copyIndex.copyCount(candidate.weights())) {
                candidates.add(candidate(candidate.engine(), candidate.weights()));
                continue;
            }
            boolean isAdapter = candidate.weights().isAdapter();
            // Memory is set aside even when the limit is reached, so that later loads do not take it.
            boolean fits = reserveMemory(candidate);
            if (fits && (isAdapter ? adapterLoads : modelLoads) > 0) {
                adapterLoads -= isAdapter ? 1 : 0;
                modelLoads -= isAdapter ? 0 : 1;
                copyIndex.incrementCopyCount(candidate.weights());
                steps.add(new PlacementStep(
                        Order.Kind.LOAD,
                        candidate.engine().id(),
                        candidate.weights(),
                        copyIndex.memoryMegabytes(candidate.weights()),
                        Optional.empty()));
            }
        }
    }

    private void addCandidates(EngineState engine, PriorityQueue<LoadCandidate> candidates) {
        PlacementPlan.Assignment wanted = plan.assignment(engine.id());
        for (ModelVersion model : wanted.models()) {
            Optional<Residency> residency = residency(engine, model);
            if (residency.isEmpty() && copyIndex.isConfigured(model)) {
                candidates.add(candidate(engine, model));
            }
            if (residency.isEmpty() || residency.get() != Residency.READY) {
                unreadyAssigned.merge(model.name(), 1, Integer::sum);
            }
        }
        for (Weights adapter : wanted.adapters()) {
            boolean baseReady = copyIndex
                    .baseModel(adapter)
                    .filter(base -> canHostAdapter(engine, base))
                    .isPresent();
            if (baseReady && residency(engine, adapter).isEmpty()) {
                candidates.add(candidate(engine, adapter));
            }
        }
    }

    private LoadCandidate candidate(EngineState engine, Weights weights) {
        double demand = copyIndex
                .baseModel(weights)
                .map(base -> Math.max(
                        state.demandOf(base).current(), state.demandOf(base).forecast()))
                .orElse(0.0);
        return new LoadCandidate(engine, weights, copyIndex.copyCount(weights), demand);
    }

    /**
     * Takes memory for a load. A load that does not fit yet keeps less urgent ones from the free memory of its engine.
     * Loads of equal urgency do not wait, because a plan never wants more than fits.
     */
    private boolean reserveMemory(LoadCandidate candidate) {
        UpstreamId upstream = candidate.engine().id();
        long memory = copyIndex.memoryMegabytes(candidate.weights());
        long left = freeMegabytes.getOrDefault(upstream, 0L);
        int repairClass = candidate.priorityClass();
        boolean yields = repairClass > reservingPriorityClass.getOrDefault(upstream, repairClass);
        if (yields || left < memory) {
            deferredMegabytes.merge(upstream, memory, Long::sum);
            reservingPriorityClass.putIfAbsent(upstream, repairClass);
            return false;
        }
        freeMegabytes.put(upstream, left - memory);
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
        long needed = deferredMegabytes.getOrDefault(engine.id(), 0L) - freeMegabytes.getOrDefault(engine.id(), 0L);
        for (EngineListing.Entry resident : engine.residents()) {
            needed -= resident.residency() == Residency.UNLOADING ? resident.memoryMegabytes() : 0;
        }
        List<EngineListing.Entry> unwanted = new ArrayList<>();
        for (EngineListing.Entry resident : engine.residents()) {
            if (resident.residency() == Residency.READY && !CopyIndex.isAssigned(plan, engine, resident.weights())) {
                unwanted.add(resident);
            }
        }
        // Adapters come first because a base model has to wait for them; then what has most other copies.
        unwanted.sort(Comparator.comparing(
                        (EngineListing.Entry entry) -> !entry.weights().isAdapter())
                .thenComparing(entry -> -copyIndex.readyCopies(entry.weights()).size())
                .thenComparing(EngineListing.Entry::weights, Weights.ORDER));
        for (EngineListing.Entry entry : unwanted) {
            if ((needed > 0 || isSuperseded(entry.weights())) && unload(engine, entry)) {
                needed -= entry.memoryMegabytes();
            }
        }
    }

    /** Returns whether all wanted copies are ready, so that an unwanted one serves no purpose. */
    private boolean isSuperseded(Weights weights) {
        return !copyIndex.isConfigured(weights)
                || copyIndex
                        .baseModel(weights)
                        .filter(base -> unreadyAssigned.getOrDefault(base, 0) > 0)
                        .isEmpty();
    }

    private boolean unload(EngineState engine, EngineListing.Entry entry) {
        Weights weights = entry.weights();
        Optional<CopyIndex.Copy> retained = copyIndex.otherReadyCopy(engine, weights);
        if (retained.isEmpty() && copyIndex.isConfigured(weights)) {
            return false;
        }
        if (weights instanceof ModelVersion version && !isOtherVersionReady(engine, version)) {
            List<EngineListing.Entry> dependent = dependentAdapters(engine, version.name());
            if (!dependent.isEmpty()) {
                unloadDependentAdapters(engine, dependent);
                return false;
            }
        }
        copyIndex.removeReady(engine, weights);
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
    private void unloadDependentAdapters(EngineState engine, List<EngineListing.Entry> adapters) {
        List<EngineListing.Entry> ready = adapters.stream()
                .filter(adapter -> copyIndex.readyCopies(adapter.weights()).stream()
                        .anyMatch(copy -> copy.engine().id().equals(engine.id())))
                .toList();
        boolean loading = adapters.stream().anyMatch(adapter -> adapter.residency() == Residency.LOADING);
        boolean retained = ready.stream()
                .allMatch(adapter ->
                        copyIndex.otherReadyCopy(engine, adapter.weights()).isPresent());
        if (!loading && retained) {
            ready.forEach(adapter -> unload(engine, adapter));
        }
    }

    private boolean isOtherVersionReady(EngineState engine, ModelVersion version) {
        return copyIndex.readyCopies(version).stream()
                .anyMatch(copy -> copy.engine().id().equals(engine.id())
                        && !copy.weights().equals(version));
    }

    private List<EngineListing.Entry> dependentAdapters(EngineState engine, ModelName model) {
        return engine.residents().stream()
                .filter(resident -> resident.weights().isAdapter())
                .filter(resident -> copyIndex.baseModel(resident.weights()).equals(Optional.of(model)))
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
    private boolean canHostAdapter(EngineState engine, ModelName model) {
        List<Weights> versions = engine.residents().stream()
                .filter(resident -> resident.residency() == Residency.READY)
                .map(EngineListing.Entry::weights)
                .filter(weights -> weights instanceof ModelVersion version
                        && version.name().equals(model))
                .toList();
        return versions.stream().anyMatch(version -> CopyIndex.isAssigned(plan, engine, version))
                || (!versions.isEmpty() && hostsLastAdapterCopy(engine, model));
    }

    private boolean hostsLastAdapterCopy(EngineState engine, ModelName model) {
        return dependentAdapters(engine, model).stream()
                .anyMatch(adapter -> adapter.residency() == Residency.READY
                        && copyIndex.otherReadyCopy(engine, adapter.weights()).isEmpty());
    }
}
