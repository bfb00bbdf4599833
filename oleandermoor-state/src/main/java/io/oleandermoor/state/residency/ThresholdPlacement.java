package io.oleandermoor.state.residency;

import io.oleandermoor.state.fleet.EngineProfile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Adds a copy of a model that no engine holds or whose copies exceed a threshold of slot utilization. Models are
 * considered one at a time, so two models in demand may share an engine while other engines are idle.
 */
final class ThresholdPlacement implements ModelPlacement {

    /** Time without a request after which a model counts as idle. */
    private static final long IDLE_TIMEOUT_MILLIS = 1_500;
    /** Fraction of an engine's slots that the demand for each copy must exceed before another copy is added. */
    private static final double COPY_UTILIZATION_THRESHOLD = 0.3;
    /**
     * Minimum number of copies of a model with sustained demand, as a copy may be lost at any time. Models without a
     * copy have priority.
     */
    private static final int REDUNDANT_COPIES = 2;
    /** Average number of running and waiting requests above which the demand for a model counts as sustained. */
    private static final double SUSTAINED_DEMAND_REQUESTS = 4;
    /** The last copy of a model is evicted only if its demand is below this fraction of the new model's demand. */
    private static final double LAST_COPY_DEMAND_RATIO = 0.5;

    /** Additional cost of a load from the weight store compared to one from the engine's own disk, in requests. */
    private static final double WEIGHT_STORE_LOAD_COST = 16;
    /** Cost for each request of the engine; an evicted model has to wait until its requests have ended. */
    private static final double COST_PER_ENGINE_REQUEST = 0.2;
    /** Cost of evicting the last copy of an idle model, in requests; it can be loaded again within seconds. */
    private static final double LAST_COPY_EVICTION_COST = 6;
    /** Cost of evicting the last copy of a model that was never requested, in requests. */
    private static final double UNREQUESTED_MODEL_EVICTION_COST = 9;

    private final EngineProfile profile;
    private final EngineMemory memory;

    ThresholdPlacement(EngineProfile profile) {
        this.profile = profile;
        this.memory = new EngineMemory(profile);
    }

    private record PlacementOption(EngineView engine, Optional<String> victim, double cost) {}

    @Override
    public void place(PlanningRound round) {
        new Pass(round).run();
    }

    private final class Pass {

        private final PlanningRound round;

        Pass(PlanningRound round) {
            this.round = round;
        }

        void run() {
            List<String> requested = new ArrayList<>(round.requestedModels());
            requested.removeIf(model -> !profile.models().containsKey(model) || isIdle(model));
            requested.sort(Comparator.comparingDouble(this::priority).reversed());
            for (String model : requested) {
                int copies = round.copies(model);
                double perCopy = smoothedDemand(model) / Math.max(1, copies);
                boolean missing = copies == 0;
                boolean overloaded = perCopy > COPY_UTILIZATION_THRESHOLD * profile.slots();
                boolean single = copies < REDUNDANT_COPIES && smoothedDemand(model) > SUSTAINED_DEMAND_REQUESTS;
                if (missing || overloaded || single) {
                    addCopy(model, missing ? "no copy" : overloaded ? "copies are overloaded" : "single copy");
                }
            }
        }

        private double smoothedDemand(String model) {
            return round.demand(model).smoothed();
        }

        private double priority(String model) {
            double missing = round.copies(model) == 0 ? profile.slots() : 0;
            return round.demand(model).waiting() + missing + smoothedDemand(model) / Math.max(1, round.copies(model));
        }

        private boolean isIdle(String model) {
            return round.demand(model).lastRequestedMillis() < round.nowMillis() - IDLE_TIMEOUT_MILLIS;
        }

        private void addCopy(String model, String reason) {
            round.engines().stream()
                    .filter(engine -> round.isAvailable(engine) && round.mayLoad(engine, model))
                    .filter(engine -> !engine.models().containsKey(model))
                    .flatMap(engine -> placementOption(engine, model).stream())
                    .min(Comparator.comparingDouble(PlacementOption::cost))
                    .ifPresent(best -> best.victim()
                            .ifPresentOrElse(
                                    victim -> round.orderReplacement(best.engine(), List.of(victim), model, reason),
                                    () -> round.orderLoad(best.engine(), model, reason)));
        }

        private Optional<PlacementOption> placementOption(EngineView engine, String model) {
            double fetchCost = engine.localWeights().contains(model) ? 0 : WEIGHT_STORE_LOAD_COST;
            double loadCost = engine.load() * COST_PER_ENGINE_REQUEST;
            if (memory.fits(engine, model)) {
                return Optional.of(new PlacementOption(engine, Optional.empty(), fetchCost + loadCost));
            }
            return engine.models().keySet().stream()
                    .filter(victim ->
                            memory.fitsAfterEviction(engine, List.of(victim), model) && mayEvict(victim, model))
                    .min(Comparator.comparingDouble(this::evictionCost))
                    .map(victim -> new PlacementOption(
                            engine, Optional.of(victim), fetchCost + loadCost + evictionCost(victim) + 1));
        }

        /**
         * Returns whether a copy may be evicted: other copies remain, or its demand is far below that of the new model.
         */
        private boolean mayEvict(String victim, String model) {
            if (victim.equals(model)) {
                return false;
            }
            boolean missing = round.copies(model) == 0;
            int victimCopies = Math.max(1, round.copies(victim));
            double demand = isIdle(victim) ? 0 : smoothedDemand(victim);
            if (victimCopies <= 1) {
                return missing && demand < LAST_COPY_DEMAND_RATIO * smoothedDemand(model);
            }
            double victimDemandPerCopy = demand / (victimCopies - 1);
            double newDemandPerCopy = smoothedDemand(model) / (round.copies(model) + 1);
            // The eviction must improve the placement of both models, or the two would evict each other in turn.
            return missing
                    ? victimDemandPerCopy < COPY_UTILIZATION_THRESHOLD * profile.slots()
                            || victimDemandPerCopy < smoothedDemand(model)
                    : victimDemandPerCopy < newDemandPerCopy;
        }

        /**
         * Returns the cost of evicting a copy. It is lowest for redundant copies, followed by idle models, models that
         * were never requested, as these may be requested next, and models in demand.
         */
        private double evictionCost(String victim) {
            int victimCopies = Math.max(1, round.copies(victim));
            double demand = isIdle(victim) ? 0 : smoothedDemand(victim);
            if (victimCopies > 1) {
                return demand / (victimCopies - 1);
            }
            boolean wasRequested = round.requestedModels().contains(victim);
            double idleCost = wasRequested ? LAST_COPY_EVICTION_COST : UNREQUESTED_MODEL_EVICTION_COST;
            return isIdle(victim) ? idleCost : UNREQUESTED_MODEL_EVICTION_COST + demand;
        }
    }
}
