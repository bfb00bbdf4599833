package io.oleandermoor.state.placement;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Simulates a fleet in virtual time that executes the plans of one policy, and records violations of safety rules. */
final class PlacementSimulation {
    static final double ENGINE_TOKENS_PER_SECOND = 400;
    static final LoadPermitLimits LIMITS = new LoadPermitLimits(1.5, 7, 55, 60_000, 5_000);

    /** One engine. Loads and unloads in progress have a completion time. */
    static final class Engine {
        final UpstreamId id;
        final FailureDomain domain;
        final long memoryMegabytes;
        EngineStatus status = EngineStatus.LIVE;
        final Map<Weights, EngineListing.Entry> residents = new TreeMap<>(Weights.ORDER);
        final Map<Weights, Long> completionMillis = new HashMap<>();

        Engine(int number, int domains, long memory) {
            id = new UpstreamId(String.format("u%03d", number));
            domain = new FailureDomain("d" + number % domains);
            this.memoryMegabytes = memory;
        }

        boolean isReady(ModelName model) {
            return residents.values().stream()
                    .anyMatch(entry -> entry.residency() == Residency.READY
                            && entry.weights() instanceof ModelVersion version
                            && version.name().equals(model));
        }

        void markDown() {
            status = EngineStatus.DOWN;
            residents.clear();
            completionMillis.clear();
        }
    }

    final List<Engine> engines = new ArrayList<>();
    final Map<ModelName, Model> models = new TreeMap<>();
    final List<Adapter> adapters = new ArrayList<>();
    final Map<ModelName, DemandEstimate> demand = new TreeMap<>();
    final List<Long> modelLoadStartMillis = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Set<ModelName> changedModels = new HashSet<>();
    final Set<UpstreamId> changedEngines = new HashSet<>();
    Findings findings = new Findings();
    PlacementPlan plan = new PlacementPlan(new PlanVersion(1, 0), new TreeMap<>());
    long nowMillis;
    int executedSteps;

    private final PlacementPlanner planner;
    private final WeightStoreLimiter limiter = new WeightStoreLimiter(LIMITS, 0);
    private final long modelLoadMillis;

    PlacementSimulation(PlacementPolicy policy, long modelLoadMillis) {
        planner = new PlacementPlanner(policy, PlacementSettings.forEngines(ENGINE_TOKENS_PER_SECOND));
        this.modelLoadMillis = modelLoadMillis;
    }

    void addModel(int number, long memory, int adapterCount) {
        Model model = new Model(new ModelName(String.format("m%03d", number)), "1", memory, 1);
        models.put(model.name(), model);
        for (int index = 0; index < adapterCount; index++) {
            adapters.add(new Adapter(new AdapterName("a" + number + "-" + index), model.name(), "1", 300));
        }
    }

    FleetState state() {
        return new FleetState(
                engines.stream()
                        .map(engine -> new EngineState(
                                engine.id,
                                engine.domain,
                                engine.memoryMegabytes,
                                engine.status,
                                List.copyOf(engine.residents.values())))
                        .toList(),
                List.copyOf(models.values()),
                adapters,
                demand);
    }

    /** Advances the time, computes a full plan or one for the recorded changes, and executes the possible steps. */
    void tick(long millis, boolean full) {
        nowMillis += millis;
        engines.forEach(this::completeOrders);
        FleetState state = state();
        Findings currentFindings = new Findings();
        PlanVersion version = new PlanVersion(1, plan.version().sequence() + 1);
        if (full) {
            plan = planner.plan(state, Optional.of(plan), version, currentFindings);
            findings = currentFindings;
        } else if (!changedModels.isEmpty() || !changedEngines.isEmpty()) {
            plan = planner.replan(
                    state, plan, new FleetChange(changedModels, changedEngines), version, currentFindings);
            findings = currentFindings;
        }
        changedModels.clear();
        changedEngines.clear();
        checkPlan();
        List<PlacementStep> next = StepPlanner.steps(plan, state, limiter.availableLoads(nowMillis));
        checkPriorityOrder(next);
        for (PlacementStep step : next) {
            execute(step);
        }
        check(limiter.inFlight(false, nowMillis) <= LIMITS.concurrentModelLoads(), "too many model loads");
        check(limiter.inFlight(true, nowMillis) <= LIMITS.concurrentAdapterLoads(), "too many adapter loads");
    }

    private void completeOrders(Engine engine) {
        for (Weights weights : List.copyOf(engine.completionMillis.keySet())) {
            if (engine.completionMillis.get(weights) <= nowMillis) {
                engine.completionMillis.remove(weights);
                EngineListing.Entry entry = engine.residents.remove(weights);
                if (entry.residency() == Residency.LOADING) {
                    engine.residents.put(
                            weights, new EngineListing.Entry(weights, entry.memoryMegabytes(), Residency.READY));
                    limiter.release(engine.id, weights, nowMillis);
                }
            }
        }
    }

    private void execute(PlacementStep step) {
        executedSteps++;
        Engine engine = engines.stream()
                .filter(candidate -> candidate.id.equals(step.upstream()))
                .findFirst()
                .orElseThrow();
        check(engine.status == EngineStatus.LIVE, step + " on an engine that is not live");
        boolean isLoad = step.kind() == Order.Kind.LOAD;
        if (isLoad) {
            LoadPermitDecision permit =
                    limiter.request(new LoadPermitRequest(engine.id, step.weights(), 0, -executedSteps), nowMillis);
            check(permit instanceof LoadPermitDecision.Granted, step + " without a permit");
        }
        if (isLoad && !step.weights().isAdapter()) {
            modelLoadStartMillis.add(nowMillis);
        }
        Residency residency = isLoad ? Residency.LOADING : Residency.UNLOADING;
        engine.residents.put(
                step.weights(), new EngineListing.Entry(step.weights(), step.memoryMegabytes(), residency));
        engine.completionMillis.put(
                step.weights(), nowMillis + (isLoad && !step.weights().isAdapter() ? modelLoadMillis : 100));
        long used = engine.residents.values().stream()
                .mapToLong(EngineListing.Entry::memoryMegabytes)
                .sum();
        check(used <= engine.memoryMegabytes, step + " overcommits memory");
        if (!isLoad && step.weights() instanceof ModelVersion version && models.containsKey(version.name())) {
            check(isServed(version.name()), step + " unloads the last ready copy");
        }
        if (isLoad && step.weights().isAdapter()) {
            Adapter adapter = adapters.stream()
                    .filter(other -> other.name().value().equals(step.weights().nameText()))
                    .findFirst()
                    .orElseThrow();
            check(engine.isReady(adapter.model()), step + " without its base model");
        }
    }

    boolean isServed(ModelName model) {
        return engines.stream().anyMatch(engine -> engine.status == EngineStatus.LIVE && engine.isReady(model));
    }

    /** Returns the assigned weights that are not resident, and the resident weights that are not assigned. */
    List<String> planDifferences() {
        List<String> differences = new ArrayList<>();
        for (Engine engine : engines) {
            Set<Weights> assigned = new HashSet<>(plan.assignment(engine.id).models());
            assigned.addAll(plan.assignment(engine.id).adapters());
            Set<Weights> actual = engine.residents.keySet();
            assigned.stream()
                    .filter(weights -> !actual.contains(weights))
                    .forEach(weights -> differences.add(engine.id + " lacks " + weights));
            actual.stream()
                    .filter(weights -> !assigned.contains(weights))
                    .forEach(weights -> differences.add(engine.id + " holds unassigned " + weights));
        }
        return differences;
    }

    private void checkPlan() {
        for (Engine engine : engines) {
            long assignedMegabytes = plan.assignment(engine.id).models().stream()
                    .mapToLong(version -> Optional.ofNullable(models.get(version.name()))
                            .map(Model::memoryMegabytes)
                            .orElse(0L))
                    .sum();
            assignedMegabytes += plan.assignment(engine.id).adapters().size() * 300L;
            check(assignedMegabytes <= engine.memoryMegabytes, "the plan overcommits " + engine.id);
        }
    }

    private void checkPriorityOrder(List<PlacementStep> next) {
        Map<ModelName, Integer> copies = new HashMap<>();
        Map<UpstreamId, Long> free = new HashMap<>();
        for (Engine engine : engines) {
            long used = 0;
            for (EngineListing.Entry entry : engine.residents.values()) {
                used += entry.memoryMegabytes();
                if (entry.weights() instanceof ModelVersion version
                        && entry.residency() != Residency.UNLOADING
                        && engine.status == EngineStatus.LIVE) {
                    copies.merge(version.name(), 1, Integer::sum);
                }
            }
            free.put(engine.id, engine.memoryMegabytes - used);
        }
        int lastPriorityClass = 0;
        for (PlacementStep step : next) {
            if (step.kind() == Order.Kind.LOAD && step.weights() instanceof ModelVersion version) {
                int priorityClass = Math.min(2, copies.getOrDefault(version.name(), 0));
                check(priorityClass >= lastPriorityClass, step + " comes after a less urgent load");
                lastPriorityClass = priorityClass;
                copies.merge(version.name(), 1, Integer::sum);
                free.merge(step.upstream(), -step.memoryMegabytes(), Long::sum);
            }
        }
        for (Engine engine : engines) {
            for (ModelVersion assigned : plan.assignment(engine.id).models()) {
                boolean startable = engine.status == EngineStatus.LIVE
                        && models.containsKey(assigned.name())
                        && !copies.containsKey(assigned.name())
                        && free.get(engine.id) >= models.get(assigned.name()).memoryMegabytes()
                        && engine.residents.get(assigned) == null;
                check(!startable || lastPriorityClass == 0, "a less urgent load comes before " + assigned);
            }
        }
    }

    private void check(boolean holds, String message) {
        if (!holds) {
            violations.add(nowMillis + " ms: " + message);
        }
    }
}
