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
 * Computes the steps towards a plan that can be executed in the current state. It has to be called again after each
 * change of the state. The steps are safe in any order of execution:
 *
 * <ul>
 *   <li>Loads fit into the memory that is currently free, next to everything that is resident or in progress.
 *   <li>An unload leaves another ready copy of the model or adapter, which no other step unloads. Unassigned copies
 *       stay until all assigned copies are ready, unless their memory is needed for a load.
 *   <li>An adapter is loaded only where its base model is ready, and a base model is unloaded after its adapters.
 * </ul>
 *
 * <p>Loads are ordered by priority class: models without a copy, models with one copy, all others. Within a class, the
 * model with the highest demand comes first. Copies that are being loaded count as copies.
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
     * Computes the steps that can be executed in the current state.
     *
     * @param plan the plan to reach
     * @param state the current state; orders that were sent but are not confirmed appear as loading or unloading
     * @param limits the maximum numbers of loads to start
     * @return the steps, loads before unloads
     */
    public static List<PlacementStep> steps(PlacementPlan plan, FleetState state, StepLimits limits) {
        StepPlanner planner = new StepPlanner(plan, state);
        planner.planLoads(limits);
        planner.planUnloads();
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
            // Memory is reserved even if the load limit is reached, so that less urgent loads do not use it.
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
        PlacementPlan.Assignment assignment = plan.assignment(engine.id());
        for (ModelVersion model : assignment.models()) {
            Optional<Residency> residency = residency(engine, model);
            if (residency.isEmpty() && copyIndex.isConfigured(model)) {
                candidates.add(candidate(engine, model));
            }
            if (residency.isEmpty() || residency.get() != Residency.READY) {
                unreadyAssigned.merge(model.name(), 1, Integer::sum);
            }
        }
        for (Weights adapter : assignment.adapters()) {
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
     * Reserves free memory for a load and returns whether it fits. A load that does not fit yet blocks loads of less
     * urgent classes on its engine. Loads of the same class do not wait for it, because a plan never assigns more than
     * fits.
     */
    private boolean reserveMemory(LoadCandidate candidate) {
        UpstreamId upstream = candidate.engine().id();
        long memory = copyIndex.memoryMegabytes(candidate.weights());
        long available = freeMegabytes.getOrDefault(upstream, 0L);
        int priorityClass = candidate.priorityClass();
        boolean blocked = priorityClass > reservingPriorityClass.getOrDefault(upstream, priorityClass);
        if (blocked || available < memory) {
            deferredMegabytes.merge(upstream, memory, Long::sum);
            reservingPriorityClass.putIfAbsent(upstream, priorityClass);
            return false;
        }
        freeMegabytes.put(upstream, available - memory);
        return true;
    }

    private void planUnloads() {
        for (EngineState engine : state.engines()) {
            if (engine.status() == EngineStatus.LIVE) {
                planUnloads(engine);
            }
        }
    }

    private void planUnloads(EngineState engine) {
        long needed = deferredMegabytes.getOrDefault(engine.id(), 0L) - freeMegabytes.getOrDefault(engine.id(), 0L);
        for (EngineListing.Entry resident : engine.residents()) {
            needed -= resident.residency() == Residency.UNLOADING ? resident.memoryMegabytes() : 0;
        }
        List<EngineListing.Entry> unassigned = new ArrayList<>();
        for (EngineListing.Entry resident : engine.residents()) {
            if (resident.residency() == Residency.READY && !CopyIndex.isAssigned(plan, engine, resident.weights())) {
                unassigned.add(resident);
            }
        }
        // Adapters are unloaded first, because their base model has to wait for them; then weights with most copies.
        unassigned.sort(Comparator.comparing(
                        (EngineListing.Entry entry) -> !entry.weights().isAdapter())
                .thenComparing(entry -> -copyIndex.readyCopies(entry.weights()).size())
                .thenComparing(EngineListing.Entry::weights, Weights.ORDER));
        for (EngineListing.Entry entry : unassigned) {
            if ((needed > 0 || isSuperseded(entry.weights())) && tryUnload(engine, entry)) {
                needed -= entry.memoryMegabytes();
            }
        }
    }

    /** Returns whether all assigned copies are ready, so that an unassigned copy is no longer needed. */
    private boolean isSuperseded(Weights weights) {
        return !copyIndex.isConfigured(weights)
                || copyIndex
                        .baseModel(weights)
                        .filter(base -> unreadyAssigned.getOrDefault(base, 0) > 0)
                        .isEmpty();
    }

    private boolean tryUnload(EngineState engine, EngineListing.Entry entry) {
        Weights weights = entry.weights();
        Optional<CopyIndex.Copy> otherCopy = copyIndex.otherReadyCopy(engine, weights);
        if (otherCopy.isEmpty() && copyIndex.isConfigured(weights)) {
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
                otherCopy.map(copy -> copy.engine().id())));
        return true;
    }

    /**
     * Unloads the adapters of a base model that is to be unloaded, even if they are assigned to the engine again with
     * the next version. Either all of them are unloaded or none: otherwise two engines could each hold the last copy of
     * an adapter that the other one has unloaded, and neither could replace the version.
     */
    private void unloadDependentAdapters(EngineState engine, List<EngineListing.Entry> adapters) {
        List<EngineListing.Entry> ready = adapters.stream()
                .filter(adapter -> copyIndex.readyCopies(adapter.weights()).stream()
                        .anyMatch(copy -> copy.engine().id().equals(engine.id())))
                .toList();
        boolean loading = adapters.stream().anyMatch(adapter -> adapter.residency() == Residency.LOADING);
        boolean hasOtherCopies = ready.stream()
                .allMatch(adapter ->
                        copyIndex.otherReadyCopy(engine, adapter.weights()).isPresent());
        if (!loading && hasOtherCopies) {
            ready.forEach(adapter -> tryUnload(engine, adapter));
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
     * Returns whether an adapter of the model can be loaded on the engine. A base model of an old version is about to
     * be unloaded. Adapters are loaded with it only while it cannot be unloaded, because the engine holds the last
     * ready copy of one of its adapters.
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
