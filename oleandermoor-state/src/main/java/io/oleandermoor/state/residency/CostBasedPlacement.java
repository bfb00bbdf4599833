package io.oleandermoor.state.residency;

import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.ModelProfile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Selects the loads and replacements of models that reduce the total cost for callers the most. Costs are counted in
 * requests:
 *
 * <ul>
 *   <li>An engine costs the square of its load, because each stream of an overloaded engine pauses while the engine
 *       processes the prompts of other requests.
 *   <li>A model without a copy costs the requests that ask for it or are likely to.
 *   <li>A model with a single copy costs the risk that this copy is lost.
 * </ul>
 *
 * <p>The gain of a move, less the cost of the load that it adds to the engine, is weighted with the part of the
 * planning horizon that remains once the load is done. The cost of the evicted copies and of disturbing the engine,
 * which arise at once, is subtracted.
 *
 * <p>This covers demand that shifts between models, sudden requests for rarely used models, engines that restart
 * without models, and batch models that share the capacity that models for live requests leave free. The models that an
 * engine holds when it is first seen indicate the expected demand, because a deployment starts with more copies of its
 * busy models.
 */
final class CostBasedPlacement implements ModelPlacement {

    /** Time for which a placement is expected to be useful; demand shifts to other models within about ten seconds. */
    private static final double PLANNING_HORIZON_SECONDS = 15;
    /** Slot utilization at which the cost of each request is 1, as about half of the engine's streams are late then. */
    private static final double UNIT_COST_UTILIZATION = 0.5;
    /**
     * Cost of a model without a copy for each request in demand: twice that of a request beyond the slots of an engine,
     * because all callers of the model are refused and not a part of them.
     */
    private static final double MISSING_MODEL_COST_PER_REQUEST = 8;
    /** Additional fixed cost of a model in demand without a copy, so that rarely requested models are loaded. */
    private static final double MISSING_MODEL_BASE_COST = 2;
    /** Cost of a single copy for each request: the probability that the copy is lost within the planning horizon. */
    private static final double SINGLE_COPY_COST_PER_REQUEST = 0.1;
    /** Cost of a model without demand and without a copy, whose weights have to be read from the weight store. */
    private static final double IDLE_MODEL_STORE_COST = 1.5;
    /** Cost of a model without demand and without a copy, whose weights an engine has locally. */
    private static final double IDLE_MODEL_DISK_COST = 0.5;
    /** Weight of the cost of a model without demand that was requested recently. */
    private static final double RECENTLY_REQUESTED_WEIGHT = 2.0;
    /** Weight of the cost of a model without demand that an engine held when it was first seen. */
    private static final double INITIALLY_RESIDENT_WEIGHT = 1.0;
    /** Weight of the cost of any other model without demand. */
    private static final double UNREQUESTED_WEIGHT = 0.5;
    /** Time after the last request for which a model counts as recently requested. */
    private static final long RECENT_REQUEST_MILLIS = 15_000;
    /** Gain that a move must exceed, so that placements of equal cost do not alternate. */
    private static final double MINIMUM_GAIN = 0.15;
    /** Cost of an order for each request of the engine, which the order disturbs. */
    private static final double DISTURBANCE_COST_PER_REQUEST = 0.05;
    /** Upper bound of the cost of disturbing the requests of the engine. */
    private static final double MAXIMUM_LOAD_DISTURBANCE_COST = 0.6;
    /** Cost of an eviction for each request of the evicted model that has to end first. */
    private static final double DRAIN_COST_PER_REQUEST = 0.1;
    /** Time that an unload adds to the load that follows it. */
    private static final double UNLOAD_OVERHEAD_SECONDS = 0.5;
    /** Time until the last running request of an evicted model in demand has ended. */
    private static final double DRAIN_SECONDS = 2.5;
    /** Time after the order to load a model for which it is not evicted while it is in demand. */
    private static final long COOLDOWN_MILLIS = 4_000;
    /** Demand that a model without current requests must exceed to count as in demand. */
    private static final double MINIMUM_DEMAND = 0.05;
    /** Expected requests for each copy that an engine held when it was first seen, if the model had several. */
    private static final double EXPECTED_REQUESTS_PER_COPY = 8;
    /** Time constant with which expected demand decays after the first request; it falls to about a third within it. */
    private static final double EXPECTED_DEMAND_TIME_CONSTANT_MILLIS = 3_000;

    private final EngineProfile profile;
    private final EngineMemory memory;
    private final Set<PlacementMechanism> mechanisms;
    private final Set<String> knownEngines = new HashSet<>();
    private final Map<String, Integer> initialCopies = new HashMap<>();
    private final Map<String, Long> lastPlacementMillis = new HashMap<>();
    private long firstDemandMillis = Long.MAX_VALUE;

    CostBasedPlacement(EngineProfile profile, Set<PlacementMechanism> mechanisms) {
        this.profile = profile;
        this.mechanisms = mechanisms;
        this.memory = new EngineMemory(profile);
    }

    @Override
    public void place(PlanningRound round) {
        for (EngineView engine : round.engines()) {
            if (knownEngines.add(engine.id())) {
                engine.models().keySet().forEach(model -> initialCopies.merge(model, 1, Integer::sum));
            }
        }
        boolean hasDemand = round.requestedModels().stream()
                .anyMatch(model -> round.demand(model).current() > 0);
        if (hasDemand && firstDemandMillis == Long.MAX_VALUE) {
            firstDemandMillis = round.nowMillis();
        }
        lastPlacementMillis.values().removeIf(placedMillis -> round.nowMillis() - placedMillis >= COOLDOWN_MILLIS);
        new GreedySearch(round).run();
    }

    /** Returns the demand that is expected from the initial copies of a model, 0 if it had fewer than two. */
    private double expectedDemand(String model, long nowMillis) {
        int copies = initialCopies.getOrDefault(model, 0);
        if (copies < 2 || !mechanisms.contains(PlacementMechanism.EXPECTED_DEMAND)) {
            return 0;
        }
        double ageMillis = Math.max(0, nowMillis - Math.min(nowMillis, firstDemandMillis));
        return EXPECTED_REQUESTS_PER_COPY * copies * Math.exp(-ageMillis / EXPECTED_DEMAND_TIME_CONSTANT_MILLIS);
    }

    /**
     * The models of an engine and the load that they cause if the demand for each model is divided evenly among its
     * copies. The load is kept twice: {@code readyLoad} counts the copies that are loaded now, {@code load} those that
     * exist once all pending orders are done.
     */
    private static final class EngineAllocation {

        private final EngineView engine;
        private final Set<String> models;
        /** Costs of evicting each model; valid until a move changes the loads. */
        private final Map<String, Double> evictionCosts = new HashMap<>();

        private List<String> victims = List.of();
        private double load;
        private double readyLoad;

        private EngineAllocation(EngineView engine) {
            this.engine = engine;
            this.models = new HashSet<>(engine.models().keySet());
            engine.remainingVictims().forEach(models::remove);
            if (!engine.incomingModel().isEmpty()) {
                models.add(engine.incomingModel());
            }
        }
    }

    /** An additional copy of a model, which replaces other models if it does not fit otherwise. */
    private record Move(EngineAllocation allocation, String model, List<String> victims, double gain) {}

    private final class GreedySearch {

        private final PlanningRound round;
        private final List<EngineAllocation> allocations = new ArrayList<>();
        private final Map<String, List<EngineAllocation>> holders = new HashMap<>();
        private final Map<String, Double> demands = new HashMap<>();
        private final Map<String, List<EngineAllocation>> readyHoldersByModel = new HashMap<>();
        private final Set<String> modelsWithLocalWeights = new HashSet<>();
        /** The engines that can be given an order, a small part of all engines; only these are considered for moves. */
        private final List<EngineAllocation> available = new ArrayList<>();

        GreedySearch(PlanningRound round) {
            this.round = round;
            for (String model : profile.models().keySet()) {
                PlanningRound.AggregateDemand demand = round.demand(model);
                double amount = Math.max(demand.forecast(), expectedDemand(model, round.nowMillis()));
                demands.put(model, demand.current() > 0 || amount > MINIMUM_DEMAND ? amount : 0);
                holders.put(model, new ArrayList<>());
            }
            for (EngineView engine : round.engines()) {
                EngineAllocation allocation = new EngineAllocation(engine);
                allocations.add(allocation);
                modelsWithLocalWeights.addAll(engine.localWeights());
                allocation.models.forEach(model ->
                        holders.computeIfAbsent(model, key -> new ArrayList<>()).add(allocation));
            }
            // Requests that wait and are retried where copies are overloaded count more than once, so demand is capped.
            demands.replaceAll((model, demand) -> Math.min(demand, (copies(model) + 1.0) * profile.slots()));
            for (EngineAllocation allocation : allocations) {
                allocation.models.forEach(model -> allocation.load += demandPerCopy(model, copies(model)));
                allocation
                        .engine
                        .models()
                        .keySet()
                        .forEach(model -> allocation.readyLoad += demandPerCopy(model, readyCopies(model)));
                if (round.isAvailable(allocation.engine)
                        && allocation.engine.incomingModel().isEmpty()) {
                    allocation.victims = allocation.engine.models().keySet().stream()
                            .filter(victim -> mayEvict(allocation, victim))
                            .toList();
                    available.add(allocation);
                }
            }
        }

        void run() {
            for (int moves = 0; moves < allocations.size(); moves++) {
                Optional<Move> best = findBestMove();
                if (best.isEmpty()) {
                    return;
                }
                apply(best.get());
            }
        }

        private double demand(String model) {
            return demands.getOrDefault(model, 0.0);
        }

        private int copies(String model) {
            return holders.getOrDefault(model, List.of()).size();
        }

        private List<EngineAllocation> readyHolders(String model) {
            return readyHoldersByModel.computeIfAbsent(
                    model,
                    key -> holders.getOrDefault(key, List.of()).stream()
                            .filter(allocation -> allocation.engine.models().containsKey(key))
                            .toList());
        }

        private int readyCopies(String model) {
            return readyHolders(model).size();
        }

        private double demandPerCopy(String model, int copies) {
            return copies == 0 ? 0 : demand(model) / copies;
        }

        private Optional<Move> findBestMove() {
            @Nullable Move best = null;
            for (String model : demands.keySet()) {
                // Expected demand only protects existing copies from eviction; it does not add copies.
                double expected = expectedDemand(model, round.nowMillis());
                if (copies(model) > 0
                        && (demand(model) == 0 || round.demand(model).forecast() < expected)) {
                    continue;
                }
                for (EngineAllocation allocation : available) {
                    if (!allocation.models.contains(model) && round.mayLoad(allocation.engine, model)) {
                        best = betterMoveOn(best, allocation, model);
                    }
                }
            }
            return Optional.ofNullable(best).filter(move -> move.gain() > MINIMUM_GAIN);
        }

        private @Nullable Move betterMoveOn(@Nullable Move soFar, EngineAllocation allocation, String model) {
            @Nullable Move best = soFar;
            double costChange = loadCostChange(allocation, model);
            if (memory.fits(allocation.engine, model)) {
                return betterOf(best, evaluate(allocation, model, costChange, List.of()));
            }
            boolean singleVictimSuffices = false;
            for (String victim : allocation.victims) {
                if (memory.fitsAfterEviction(allocation.engine, List.of(victim), model)) {
                    singleVictimSuffices = true;
                    best = betterOf(best, evaluate(allocation, model, costChange, List.of(victim)));
                }
            }
            if (!singleVictimSuffices
                    && copies(model) == 0
                    && mechanisms.contains(PlacementMechanism.SEVERAL_EVICTIONS)) {
                Optional<List<String>> victims = cheapestVictims(allocation, model);
                if (victims.isPresent()) {
                    best = betterOf(best, evaluate(allocation, model, costChange, victims.get()));
                }
            }
            return best;
        }

        /**
         * Returns models to evict together for a model that none of them makes room for alone, the least costly first.
         * A model that is larger than any that an engine holds could otherwise never replace them.
         */
        private Optional<List<String>> cheapestVictims(EngineAllocation allocation, String model) {
            List<String> ascendingCost = allocation.victims.stream()
                    .sorted(Comparator.comparingDouble(victim -> cachedEvictionCost(allocation, victim)))
                    .toList();
            for (int count = 2; count <= ascendingCost.size(); count++) {
                List<String> victims = ascendingCost.subList(0, count);
                if (memory.fitsAfterEviction(allocation.engine, victims, model)) {
                    return Optional.of(victims);
                }
            }
            return Optional.empty();
        }

        private double cachedEvictionCost(EngineAllocation allocation, String victim) {
            return allocation.evictionCosts.computeIfAbsent(victim, evicted -> evictionCost(allocation, evicted));
        }

        private boolean mayEvict(EngineAllocation allocation, String victim) {
            long placedMillis =
                    lastPlacementMillis.getOrDefault(allocation.engine.id() + " " + victim, Long.MIN_VALUE / 2);
            return demand(victim) == 0 || round.nowMillis() - placedMillis >= COOLDOWN_MILLIS;
        }

        private static Move betterOf(@Nullable Move best, Move next) {
            return best == null || next.gain() > best.gain() ? next : best;
        }

        private Move evaluate(EngineAllocation allocation, String model, double costChange, List<String> victims) {
            double gain = -costChange;
            if (copies(model) == 0) {
                gain += missingModelCost(model, modelsWithLocalWeights.contains(model));
            } else if (copies(model) == 1) {
                gain += SINGLE_COPY_COST_PER_REQUEST * demand(model);
            }
            double delaySeconds = loadSeconds(allocation, model) + unloadSeconds(victims);
            double weightedGain =
                    gain * Math.max(0, PLANNING_HORIZON_SECONDS - delaySeconds) / PLANNING_HORIZON_SECONDS;
            double cost = disturbanceCost(allocation, victims);
            for (String victim : victims) {
                cost += cachedEvictionCost(allocation, victim);
            }
            return new Move(allocation, model, victims, weightedGain - cost);
        }

        private double loadSeconds(EngineAllocation allocation, String model) {
            ModelProfile modelProfile = profile.models().get(model);
            if (modelProfile == null) {
                return PLANNING_HORIZON_SECONDS;
            }
            return allocation.engine.localWeights().contains(model)
                    ? modelProfile.diskLoadSeconds()
                    : modelProfile.storeLoadSeconds();
        }

        private double unloadSeconds(List<String> victims) {
            return victims.stream()
                    .mapToDouble(model -> UNLOAD_OVERHEAD_SECONDS + (demand(model) > 0 ? DRAIN_SECONDS : 0))
                    .sum();
        }

        private double disturbanceCost(EngineAllocation allocation, List<String> victims) {
            double drainingRequests = victims.stream()
                    .mapToDouble(model -> demandPerCopy(model, copies(model)))
                    .sum();
            return Math.min(MAXIMUM_LOAD_DISTURBANCE_COST, DISTURBANCE_COST_PER_REQUEST * (1 + allocation.load))
                    + DRAIN_COST_PER_REQUEST * drainingRequests;
        }

        /**
         * Returns the cost of evicting a copy. The engine keeps the weights locally. Copies that are still being loaded
         * do not count as replacements.
         */
        private double evictionCost(EngineAllocation allocation, String victim) {
            int copies = readyCopies(victim);
            if (copies <= 1) {
                return missingModelCost(victim, true);
            }
            double removed = demandPerCopy(victim, copies);
            double extraLoad = demandPerCopy(victim, copies - 1) - removed;
            double change = loadCost(allocation.readyLoad - removed) - loadCost(allocation.readyLoad);
            for (EngineAllocation holder : readyHolders(victim)) {
                if (holder != allocation) {
                    change += loadCost(holder.readyLoad + extraLoad) - loadCost(holder.readyLoad);
                }
            }
            return Math.max(0, change) + (copies == 2 ? SINGLE_COPY_COST_PER_REQUEST * demand(victim) : 0);
        }

        /** Returns the cost of a model without a copy; lower if some engine has its weights locally. */
        private double missingModelCost(String model, boolean weightsAreLocal) {
            if (demand(model) > 0) {
                return MISSING_MODEL_BASE_COST + MISSING_MODEL_COST_PER_REQUEST * demand(model);
            }
            boolean recent = round.nowMillis() - round.demand(model).lastRequestedMillis() < RECENT_REQUEST_MILLIS;
            double weight = recent
                    ? RECENTLY_REQUESTED_WEIGHT
                    : initialCopies.containsKey(model) ? INITIALLY_RESIDENT_WEIGHT : UNREQUESTED_WEIGHT;
            return weight * (weightsAreLocal ? IDLE_MODEL_DISK_COST : IDLE_MODEL_STORE_COST);
        }

        /** Returns the change of the engines' load cost by an additional copy; negative if the cost decreases. */
        private double loadCostChange(EngineAllocation allocation, String model) {
            double added = demandPerCopy(model, copies(model) + 1);
            double holderLoadChange = added - demandPerCopy(model, copies(model));
            double change = loadCost(allocation.load + added) - loadCost(allocation.load);
            for (EngineAllocation holder : holders.getOrDefault(model, List.of())) {
                change += loadCost(holder.load + holderLoadChange) - loadCost(holder.load);
            }
            return change;
        }

        /**
         * Returns the cost of an engine's load: late requests up to the number of slots, refused requests beyond it.
         * The cost keeps growing beyond the slots, so that an overloaded engine always benefits from a copy on a less
         * loaded one.
         */
        private double loadCost(double load) {
            double unitCostLoad = UNIT_COST_UTILIZATION * profile.slots();
            double slots = profile.slots();
            return load <= slots
                    ? load * load / unitCostLoad
                    : (slots * slots + 2 * slots * (load - slots)) / unitCostLoad;
        }

        private void apply(Move move) {
            String reason = String.format(
                    "demand %.1f on %d copies, gain %.2f", demand(move.model()), copies(move.model()), move.gain());
            EngineAllocation allocation = move.allocation();
            for (String victim : move.victims()) {
                double previousPerCopy = demandPerCopy(victim, copies(victim));
                holders.getOrDefault(victim, List.of()).remove(allocation);
                allocation.models.remove(victim);
                allocation.load -= previousPerCopy;
                redistribute(victim, previousPerCopy);
            }
            double previousPerCopy = demandPerCopy(move.model(), copies(move.model()));
            redistribute(move.model(), previousPerCopy, copies(move.model()) + 1);
            holders.computeIfAbsent(move.model(), key -> new ArrayList<>()).add(allocation);
            allocation.models.add(move.model());
            allocation.load += demandPerCopy(move.model(), copies(move.model()));
            lastPlacementMillis.put(allocation.engine.id() + " " + move.model(), round.nowMillis());
            available.remove(allocation);
            available.forEach(each -> each.evictionCosts.clear());
            move.victims().forEach(readyHoldersByModel::remove);
            if (move.victims().isEmpty()) {
                round.orderLoad(allocation.engine, move.model(), reason);
            } else {
                round.orderReplacement(allocation.engine, move.victims(), move.model(), reason);
            }
        }

        private void redistribute(String model, double previousPerCopy) {
            redistribute(model, previousPerCopy, copies(model));
        }

        /** Updates the load of the current holders of a model for a changed number of copies. */
        private void redistribute(String model, double previousPerCopy, int copies) {
            double perCopy = demandPerCopy(model, copies);
            holders.getOrDefault(model, List.of()).forEach(holder -> holder.load += perCopy - previousPerCopy);
        }
    }
}
