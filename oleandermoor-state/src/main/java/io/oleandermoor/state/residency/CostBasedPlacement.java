package io.oleandermoor.state.residency;

import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.ModelProfile;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Makes the moves that take most harm from callers, counted in requests: an engine harms its callers by the square of
 * its load, because streams of a crowded engine pause for each other's prompts; a model without a copy harms those who
 * ask for it, or would; a single copy may be lost at any time. A move counts for the time that is left of a horizon
 * after its load, less what it takes from others and the disturbance of the engine.
 *
 * <p>Answers demand that moves between models, rare models that are asked for at once, engines that come back empty,
 * and batch models that take turns on the places that live models leave. Engines that are seen for the first time tell
 * of the demand that is expected: a deployment starts with more copies of its busy models.
 */
final class CostBasedPlacement implements ModelPlacement {

    /** Time for which a placement is expected to be of use; demand moves on within some ten seconds. */
    private static final double PLANNING_HORIZON_SECONDS = 15;
    /** Share of an engine's slots at which a request is harmed by one: about half of its streams are late then. */
    private static final double UNIT_COST_UTILIZATION = 0.5;
    /** Harm of a model without a copy for each request that runs or waits for it: it is refused and comes back. */
    private static final double MISSING_MODEL_COST_PER_REQUEST = 5;
    /** Harm of a model without a copy that anybody asks for, so that rare ones get their turn. */
    private static final double MISSING_MODEL_BASE_COST = 2;
    /** Harm of a single copy for each request: the chance that it is lost within the horizon. */
    private static final double SINGLE_COPY_COST_PER_REQUEST = 0.1;
    /** Harm of a model that nobody asks for now and that would have to come from the weight store, or from a disk. */
    private static final double IDLE_MODEL_STORE_COST = 1.5;

    private static final double IDLE_MODEL_DISK_COST = 0.5;
    /** Weight of that harm for models that were asked for lately, were resident at first, or neither. */
    private static final double RECENTLY_REQUESTED_WEIGHT = 2.0;

    private static final double INITIALLY_RESIDENT_WEIGHT = 1.0;
    private static final double UNREQUESTED_WEIGHT = 0.5;
    /** Time for which a model counts as asked for lately. */
    private static final long RECENT_REQUEST_MILLIS = 15_000;
    /** Least gain of a move, so that equal placements do not take turns. */
    private static final double MINIMUM_GAIN = 0.15;
    /** Disturbance by an order: for each request of the engine, up to a bound, and for each that has to end first. */
    private static final double DISTURBANCE_COST_PER_REQUEST = 0.05;

    private static final double MAXIMUM_LOAD_DISTURBANCE_COST = 0.6;
    private static final double DRAIN_COST_PER_REQUEST = 0.1;
    /** Time that an unload takes beyond the load, and the time until its last run has ended if it has any. */
    private static final double UNLOAD_OVERHEAD_SECONDS = 0.5;

    private static final double DRAIN_SECONDS = 2.5;
    /** Time for which a model in demand does not yield after its load was ordered. */
    private static final long COOLDOWN_MILLIS = 4_000;
    /** Demand below which a model counts as not asked for. */
    private static final double MINIMUM_DEMAND = 0.05;
    /** Requests for which each copy stands that an engine held when it was first seen, where there are several. */
    private static final double EXPECTED_REQUESTS_PER_COPY = 8;
    /** Time in which that expectation falls to a third once requests come. */
    private static final double EXPECTED_DEMAND_TIME_CONSTANT_MILLIS = 3_000;

    private final EngineProfile profile;
    private final EngineMemory memory;
    private final Set<String> knownEngines = new HashSet<>();
    private final Map<String, Integer> initialCopies = new HashMap<>();
    private final Map<String, Long> lastPlacementMillis = new HashMap<>();
    private long firstDemandMillis = Long.MAX_VALUE;

    CostBasedPlacement(EngineProfile profile) {
        this.profile = profile;
        this.memory = new EngineMemory(profile);
    }

    @Override
    public void place(PlanningRound round) {
        for (EngineView engine : round.engines()) {
            if (knownEngines.add(engine.id())) {
                engine.models().keySet().forEach(model -> initialCopies.merge(model, 1, Integer::sum));
            }
        }
        boolean asked = round.requestedModels().stream()
                .anyMatch(model -> round.demand(model).current() > 0);
        if (asked && firstDemandMillis == Long.MAX_VALUE) {
            firstDemandMillis = round.nowMillis();
        }
        lastPlacementMillis.values().removeIf(placed -> round.nowMillis() - placed >= COOLDOWN_MILLIS);
        new GreedySearch(round).run();
    }

    private double expectedDemand(String model, long nowMillis) {
        int copies = initialCopies.getOrDefault(model, 0);
        if (copies < 2) {
            return 0;
        }
        double age = Math.max(0, nowMillis - Math.min(nowMillis, firstDemandMillis));
        return EXPECTED_REQUESTS_PER_COPY * copies * Math.exp(-age / EXPECTED_DEMAND_TIME_CONSTANT_MILLIS);
    }

    /**
     * An engine with the load that its models bring, if each model's demand is divided evenly among its copies: among
     * those that are there now, and among those that will be there when the orders under way are done.
     */
    private static final class EngineAllocation {

        private final EngineView engine;
        private final Set<String> models;
        /** What is lost when a model yields, until a move changes the loads. */
        private final Map<String, Double> evictionCosts = new HashMap<>();

        private List<String> victims = List.of();
        private double load;
        private double readyLoad;

        private EngineAllocation(EngineView engine) {
            this.engine = engine;
            this.models = new HashSet<>(engine.models().keySet());
            if (!engine.incomingModel().isEmpty()) {
                models.add(engine.incomingModel());
            }
        }
    }

    /** A copy more of one model, in place of another one where it does not fit otherwise. */
    private record Move(EngineAllocation engine, String model, Optional<String> victim, double gain) {}

    private final class GreedySearch {

        private final PlanningRound round;
        private final List<EngineAllocation> allocations = new ArrayList<>();
        private final Map<String, List<EngineAllocation>> holders = new HashMap<>();
        private final Map<String, Double> demands = new HashMap<>();
        private final Map<String, List<EngineAllocation>> readyHoldersByModel = new HashMap<>();
        private final Set<String> modelsWithLocalWeights = new HashSet<>();
        /** The places that can be given an order; few of all, and all that a move may change. */
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
                EngineAllocation place = new EngineAllocation(engine);
                allocations.add(place);
                modelsWithLocalWeights.addAll(engine.localWeights());
                place.models.forEach(model ->
                        holders.computeIfAbsent(model, key -> new ArrayList<>()).add(place));
            }
            // Where copies are crowded, requests that wait and come back count more than once.
            demands.replaceAll((model, demand) -> Math.min(demand, (copies(model) + 1.0) * profile.slots()));
            for (EngineAllocation place : allocations) {
                place.models.forEach(model -> place.load += demandPerCopy(model, copies(model)));
                place.engine
                        .models()
                        .keySet()
                        .forEach(model -> place.readyLoad += demandPerCopy(model, readyCopies(model)));
                if (round.isAvailable(place.engine)
                        && place.engine.incomingModel().isEmpty()) {
                    place.victims = place.engine.models().keySet().stream()
                            .filter(victim -> mayEvict(place, victim))
                            .toList();
                    available.add(place);
                }
            }
        }

        void run() {
            for (int moves = 0; moves < allocations.size(); moves++) {
                Optional<Move> best = best();
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
                            .filter(place -> place.engine.models().containsKey(key))
                            .toList());
        }

        private int readyCopies(String model) {
            return readyHolders(model).size();
        }

        private double demandPerCopy(String model, int copies) {
            return copies == 0 ? 0 : demand(model) / copies;
        }

        private Optional<Move> best() {
            @Nullable Move best = null;
            for (String model : demands.keySet()) {
                // What is only expected protects copies, it makes none.
                double expected = expectedDemand(model, round.nowMillis());
                if (copies(model) > 0
                        && (demand(model) == 0 || round.demand(model).forecast() < expected)) {
                    continue;
                }
                for (EngineAllocation place : available) {
                    if (!place.models.contains(model) && round.mayLoad(place.engine, model)) {
                        best = best(best, place, model);
                    }
                }
            }
            return Optional.ofNullable(best).filter(move -> move.gain() > MINIMUM_GAIN);
        }

        private @Nullable Move best(@Nullable Move soFar, EngineAllocation place, String model) {
            @Nullable Move best = soFar;
            double crowding = loadCostChange(place, model);
            if (memory.fits(place.engine, model)) {
                return betterOf(best, evaluate(place, model, crowding, Optional.empty()));
            }
            for (String victim : place.victims) {
                if (memory.fitsAfterEviction(place.engine, victim, model)) {
                    best = betterOf(best, evaluate(place, model, crowding, Optional.of(victim)));
                }
            }
            return best;
        }

        private boolean mayEvict(EngineAllocation place, String victim) {
            long placed = lastPlacementMillis.getOrDefault(place.engine.id() + " " + victim, Long.MIN_VALUE / 2);
            return demand(victim) == 0 || round.nowMillis() - placed >= COOLDOWN_MILLIS;
        }

        private static Move betterOf(@Nullable Move best, Move next) {
            return best == null || next.gain() > best.gain() ? next : best;
        }

        private Move evaluate(EngineAllocation place, String model, double crowding, Optional<String> victim) {
            double gain = Math.max(0, -crowding);
            if (copies(model) == 0) {
                gain += missingModelCost(model, modelsWithLocalWeights.contains(model));
            } else if (copies(model) == 1) {
                gain += SINGLE_COPY_COST_PER_REQUEST * demand(model);
            }
            double seconds = loadSeconds(place, model) + unloadSeconds(victim);
            double worth = gain * Math.max(0, PLANNING_HORIZON_SECONDS - seconds) / PLANNING_HORIZON_SECONDS;
            double cost = Math.max(0, crowding) + disturbanceCost(place, victim);
            if (victim.isPresent()) {
                cost += place.evictionCosts.computeIfAbsent(victim.get(), yielding -> evictionCost(place, yielding));
            }
            return new Move(place, model, victim, worth - cost);
        }

        private double loadSeconds(EngineAllocation place, String model) {
            ModelProfile known = profile.models().get(model);
            if (known == null) {
                return PLANNING_HORIZON_SECONDS;
            }
            return place.engine.localWeights().contains(model) ? known.diskSeconds() : known.loadSeconds();
        }

        private double unloadSeconds(Optional<String> victim) {
            return victim.map(model -> UNLOAD_OVERHEAD_SECONDS + (demand(model) > 0 ? DRAIN_SECONDS : 0))
                    .orElse(0.0);
        }

        private double disturbanceCost(EngineAllocation place, Optional<String> victim) {
            double ending =
                    victim.map(model -> demandPerCopy(model, copies(model))).orElse(0.0);
            return Math.min(MAXIMUM_LOAD_DISTURBANCE_COST, DISTURBANCE_COST_PER_REQUEST * (1 + place.load))
                    + DRAIN_COST_PER_REQUEST * ending;
        }

        /**
         * Returns what is lost when a copy yields; the engine keeps the weights at hand. Copies that are still being
         * loaded do not stand in for it.
         */
        private double evictionCost(EngineAllocation place, String victim) {
            int copies = readyCopies(victim);
            if (copies <= 1) {
                return missingModelCost(victim, true);
            }
            double yielded = demandPerCopy(victim, copies);
            double burden = demandPerCopy(victim, copies - 1) - yielded;
            double change = loadCost(place.readyLoad - yielded) - loadCost(place.readyLoad);
            for (EngineAllocation holder : readyHolders(victim)) {
                if (holder != place) {
                    change += loadCost(holder.readyLoad + burden) - loadCost(holder.readyLoad);
                }
            }
            return Math.max(0, change) + (copies == 2 ? SINGLE_COPY_COST_PER_REQUEST * demand(victim) : 0);
        }

        private double missingModelCost(String model, boolean weightsAtHand) {
            if (demand(model) > 0) {
                return MISSING_MODEL_BASE_COST + MISSING_MODEL_COST_PER_REQUEST * demand(model);
            }
            boolean recent = round.nowMillis() - round.demand(model).lastRequestedMillis() < RECENT_REQUEST_MILLIS;
            double weight = recent
                    ? RECENTLY_REQUESTED_WEIGHT
                    : initialCopies.containsKey(model) ? INITIALLY_RESIDENT_WEIGHT : UNREQUESTED_WEIGHT;
            return weight * (weightsAtHand ? IDLE_MODEL_DISK_COST : IDLE_MODEL_STORE_COST);
        }

        /** Returns how the harm by crowded engines changes with one more copy; negative if it becomes less. */
        private double loadCostChange(EngineAllocation place, String model) {
            double added = demandPerCopy(model, copies(model) + 1);
            double relief = added - demandPerCopy(model, copies(model));
            double change = loadCost(place.load + added) - loadCost(place.load);
            for (EngineAllocation holder : holders.getOrDefault(model, List.of())) {
                change += loadCost(holder.load + relief) - loadCost(holder.load);
            }
            return change;
        }

        /**
         * Returns the harm by an engine's load: late requests up to its slots, refused ones beyond. It goes on to grow,
         * so that a crowded engine always gains by a copy on one that is less crowded.
         */
        private double loadCost(double load) {
            double full = UNIT_COST_UTILIZATION * profile.slots();
            double most = profile.slots();
            return load <= most ? load * load / full : (most * most + 2 * most * (load - most)) / full;
        }

        private void apply(Move move) {
            String reason = String.format(
                    "demand %.1f of %d copies, gain %.2f", demand(move.model()), copies(move.model()), move.gain());
            EngineAllocation place = move.engine();
            for (String victim : move.victim().stream().toList()) {
                double before = demandPerCopy(victim, copies(victim));
                holders.getOrDefault(victim, List.of()).remove(place);
                place.models.remove(victim);
                place.load -= before;
                spread(victim, before);
            }
            double before = demandPerCopy(move.model(), copies(move.model()));
            spread(move.model(), before, copies(move.model()) + 1);
            holders.computeIfAbsent(move.model(), key -> new ArrayList<>()).add(place);
            place.models.add(move.model());
            place.load += demandPerCopy(move.model(), copies(move.model()));
            lastPlacementMillis.put(place.engine.id() + " " + move.model(), round.nowMillis());
            available.remove(place);
            available.forEach(each -> each.evictionCosts.clear());
            move.victim().ifPresent(readyHoldersByModel::remove);
            move.victim()
                    .ifPresentOrElse(
                            victim -> round.orderReplacement(place.engine, victim, move.model(), reason),
                            () -> round.orderLoad(place.engine, move.model(), reason));
        }

        private void spread(String model, double before) {
            spread(model, before, copies(model));
        }

        /** Gives the present holders of a model their new part of its demand. */
        private void spread(String model, double before, int copies) {
            double after = demandPerCopy(model, copies);
            holders.getOrDefault(model, List.of()).forEach(holder -> holder.load += after - before);
        }
    }
}
