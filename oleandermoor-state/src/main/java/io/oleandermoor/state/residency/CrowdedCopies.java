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
final class CrowdedCopies implements ModelPlacement {

    /** Time without a request after which a model counts as idle. */
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

    /** Loss by a load from the weight store in place of one from the engine's own disk, in requests. */
    private static final double FETCH_LOSS = 16;
    /** Loss by each request of the engine, whose model has to wait for it before it yields. */
    private static final double LOAD_LOSS = 0.2;
    /** Loss of the last copy of a model that is no longer asked for, in requests; a load makes it good in seconds. */
    private static final double LAST_COPY_LOSS = 6;
    /** Loss of the last copy of a model that has not been asked for yet. */
    private static final double UNTRIED_LOSS = 9;

    private final EngineProfile profile;
    private final EngineMemory memory;

    CrowdedCopies(EngineProfile profile) {
        this.profile = profile;
        this.memory = new EngineMemory(profile);
    }

    private record Placement(EngineView engine, Optional<String> yielding, double cost) {}

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
            List<String> wanted = new ArrayList<>(round.wantedModels());
            wanted.removeIf(model -> !profile.models().containsKey(model) || idle(model));
            wanted.sort(Comparator.comparingDouble(this::pressure).reversed());
            for (String model : wanted) {
                int present = round.copies(model);
                double perCopy = demandOf(model) / Math.max(1, present);
                boolean missing = present == 0;
                boolean crowded = perCopy > BUSY_SHARE * profile.slots();
                boolean single = present < SAFE_COPIES && demandOf(model) > LASTING_DEMAND;
                if (missing || crowded || single) {
                    placeCopy(model, missing ? "held by nobody" : crowded ? "copies are crowded" : "single copy");
                }
            }
        }

        private double demandOf(String model) {
            return round.demand(model).smoothed();
        }

        private double pressure(String model) {
            double missing = round.copies(model) == 0 ? profile.slots() : 0;
            return round.demand(model).waiting() + missing + demandOf(model) / Math.max(1, round.copies(model));
        }

        private boolean idle(String model) {
            return round.demand(model).lastWantedMillis() < round.nowMillis() - IDLE_MILLIS;
        }

        private void placeCopy(String model, String reason) {
            round.engines().stream()
                    .filter(engine -> round.mayOrder(engine) && round.mayLoad(engine, model))
                    .filter(engine -> !engine.models().containsKey(model))
                    .flatMap(engine -> placement(engine, model).stream())
                    .min(Comparator.comparingDouble(Placement::cost))
                    .ifPresent(best -> best.yielding()
                            .ifPresentOrElse(
                                    victim -> round.replace(best.engine(), victim, model, reason),
                                    () -> round.load(best.engine(), model, reason)));
        }

        private Optional<Placement> placement(EngineView engine, String model) {
            double slow = engine.weightsAtHand().contains(model) ? 0 : FETCH_LOSS;
            double load = engine.load() * LOAD_LOSS;
            if (memory.fits(engine, model)) {
                return Optional.of(new Placement(engine, Optional.empty(), slow + load));
            }
            return engine.models().keySet().stream()
                    .filter(victim -> memory.fitsWithout(engine, victim, model) && mayYield(victim, model))
                    .min(Comparator.comparingDouble(this::loss))
                    .map(victim -> new Placement(engine, Optional.of(victim), slow + load + loss(victim) + 1));
        }

        /** A copy of a model yields if others remain or if it is wanted much less than the new model. */
        private boolean mayYield(String victim, String model) {
            if (victim.equals(model)) {
                return false;
            }
            boolean missing = round.copies(model) == 0;
            int present = Math.max(1, round.copies(victim));
            double demand = idle(victim) ? 0 : demandOf(victim);
            if (present <= 1) {
                return missing && demand < YIELD_RATIO * demandOf(model);
            }
            double left = demand / (present - 1);
            double gained = demandOf(model) / (round.copies(model) + 1);
            // Another copy must leave both models better off, or the two would take turns.
            return missing ? left < BUSY_SHARE * profile.slots() || left < demandOf(model) : left < gained;
        }

        /**
         * Returns what is lost if a copy yields: spare copies go first, then models that were asked for and no longer
         * are, then those that were never asked for, which may be the next ones, and last those in demand.
         */
        private double loss(String victim) {
            int present = Math.max(1, round.copies(victim));
            double demand = idle(victim) ? 0 : demandOf(victim);
            if (present > 1) {
                return demand / (present - 1);
            }
            boolean tried = round.wantedModels().contains(victim);
            double last = tried ? LAST_COPY_LOSS : UNTRIED_LOSS;
            return idle(victim) ? last : UNTRIED_LOSS + demand;
        }
    }
}
