package io.oleandermoor.state.residency;

import io.oleandermoor.state.fleet.EngineProfile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Makes a copy of a model that is held by nobody or whose copies have more than a share of an engine's slots to do. It
 * looks at one model at a time, so two models in demand may share an engine while others are idle.
 */
final class ThresholdPlacement implements ModelPlacement {

    /** Time without a request after which a model counts as idle. */
    private static final long IDLE_TIMEOUT_MILLIS = 1_500;
    /** Share of an engine's slots that a copy must exceed before another one is made. */
    private static final double COPY_UTILIZATION_THRESHOLD = 0.3;
    /**
     * Copies that a model with lasting demand has at least, while nothing else is missing; one may be lost any time.
     */
    private static final int REDUNDANT_COPIES = 2;
    /** Requests that run or wait, on average, from which the demand for a model counts as lasting. */
    private static final double SUSTAINED_DEMAND_REQUESTS = 4;
    /** A last copy yields only if the demand for it is below this part of the new model's. */
    private static final double LAST_COPY_DEMAND_RATIO = 0.5;

    /** Loss by a load from the weight store in place of one from the engine's own disk, in requests. */
    private static final double WEIGHT_STORE_LOAD_COST = 16;
    /** Loss by each request of the engine, whose model has to wait for it before it yields. */
    private static final double COST_PER_ENGINE_REQUEST = 0.2;
    /** Loss of the last copy of a model that is no longer asked for, in requests; a load makes it good in seconds. */
    private static final double LAST_COPY_EVICTION_COST = 6;
    /** Loss of the last copy of a model that has not been asked for yet. */
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
            List<String> wanted = new ArrayList<>(round.requestedModels());
            wanted.removeIf(model -> !profile.models().containsKey(model) || isIdle(model));
            wanted.sort(Comparator.comparingDouble(this::priority).reversed());
            for (String model : wanted) {
                int present = round.copies(model);
                double perCopy = smoothedDemand(model) / Math.max(1, present);
                boolean missing = present == 0;
                boolean crowded = perCopy > COPY_UTILIZATION_THRESHOLD * profile.slots();
                boolean single = present < REDUNDANT_COPIES && smoothedDemand(model) > SUSTAINED_DEMAND_REQUESTS;
                if (missing || crowded || single) {
                    addCopy(model, missing ? "held by nobody" : crowded ? "copies are crowded" : "single copy");
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
                                    victim -> round.orderReplacement(best.engine(), victim, model, reason),
                                    () -> round.orderLoad(best.engine(), model, reason)));
        }

        private Optional<PlacementOption> placementOption(EngineView engine, String model) {
            double slow = engine.localWeights().contains(model) ? 0 : WEIGHT_STORE_LOAD_COST;
            double load = engine.load() * COST_PER_ENGINE_REQUEST;
            if (memory.fits(engine, model)) {
                return Optional.of(new PlacementOption(engine, Optional.empty(), slow + load));
            }
            return engine.models().keySet().stream()
                    .filter(victim -> memory.fitsAfterEviction(engine, victim, model) && mayEvict(victim, model))
                    .min(Comparator.comparingDouble(this::evictionCost))
                    .map(victim ->
                            new PlacementOption(engine, Optional.of(victim), slow + load + evictionCost(victim) + 1));
        }

        /** A copy of a model yields if others remain or if it is wanted much less than the new model. */
        private boolean mayEvict(String victim, String model) {
            if (victim.equals(model)) {
                return false;
            }
            boolean missing = round.copies(model) == 0;
            int present = Math.max(1, round.copies(victim));
            double demand = isIdle(victim) ? 0 : smoothedDemand(victim);
            if (present <= 1) {
                return missing && demand < LAST_COPY_DEMAND_RATIO * smoothedDemand(model);
            }
            double left = demand / (present - 1);
            double gained = smoothedDemand(model) / (round.copies(model) + 1);
            // Another copy must leave both models better off, or the two would take turns.
            return missing
                    ? left < COPY_UTILIZATION_THRESHOLD * profile.slots() || left < smoothedDemand(model)
                    : left < gained;
        }

        /**
         * Returns what is lost if a copy yields: spare copies go first, then models that were asked for and no longer
         * are, then those that were never asked for, which may be the next ones, and last those in demand.
         */
        private double evictionCost(String victim) {
            int present = Math.max(1, round.copies(victim));
            double demand = isIdle(victim) ? 0 : smoothedDemand(victim);
            if (present > 1) {
                return demand / (present - 1);
            }
            boolean tried = round.requestedModels().contains(victim);
            double last = tried ? LAST_COPY_EVICTION_COST : UNREQUESTED_MODEL_EVICTION_COST;
            return isIdle(victim) ? last : UNREQUESTED_MODEL_EVICTION_COST + demand;
        }
    }
}
