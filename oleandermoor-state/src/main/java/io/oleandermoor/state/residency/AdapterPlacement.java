package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.EngineProfile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Decides which adapters engines load and drop: adapters follow the requests that wait for them. */
final class AdapterPlacement {

    /** Requests for one adapter per engine from which a further copy of it is made, as a share of the slots. */
    private static final double COPY_UTILIZATION_THRESHOLD = 0.15;
    /** Time for which a newly loaded adapter does not yield. */
    private static final long COOLDOWN_MILLIS = 300;
    /** Slots that an engine without a free place for an adapter must be less loaded by, as a share. */
    private static final double EVICTION_PENALTY_RATIO = 0.1;

    private final EngineProfile profile;
    private final Map<String, Long> lastLoadMillis = new HashMap<>();

    AdapterPlacement(EngineProfile profile) {
        this.profile = profile;
    }

    void place(PlanningRound round) {
        long forgotten = round.nowMillis() - COOLDOWN_MILLIS;
        lastLoadMillis.values().removeIf(loaded -> loaded < forgotten);
        new Pass(round).run();
    }

    private final class Pass {

        private final PlanningRound round;

        Pass(PlanningRound round) {
            this.round = round;
        }

        void run() {
            List<ModelTarget> wanted = new ArrayList<>();
            round.demands().forEach((target, demand) -> {
                if (target.isAdapter()
                        && demand.current() > 0
                        && profile.models().containsKey(target.model())) {
                    wanted.add(target);
                }
            });
            wanted.sort(Comparator.<ModelTarget>comparingInt(target -> -waiting(target))
                    .thenComparing(ModelTarget::toString));
            for (ModelTarget target : wanted) {
                long held = round.engines().stream()
                        .filter(engine -> holds(engine, target))
                        .count();
                double perCopy = smoothed(target) / Math.max(1, held);
                if (held == 0 || waiting(target) > 0 || perCopy > COPY_UTILIZATION_THRESHOLD * profile.slots()) {
                    addCopy(target, held == 0 ? "held by nobody" : "copies are crowded");
                }
            }
        }

        private boolean holds(EngineView engine, ModelTarget target) {
            return engine.models().getOrDefault(target.model(), Set.of()).contains(target.adapter());
        }

        private boolean hasFreeSlot(EngineView engine) {
            return engine.adapterCount() < profile.adapterSlots();
        }

        private void addCopy(ModelTarget target, String reason) {
            Optional<EngineView> engine = round.engines().stream()
                    .filter(round::isAvailable)
                    .filter(each -> each.models().containsKey(target.model()) && !holds(each, target))
                    .filter(each ->
                            hasFreeSlot(each) || evictionCandidate(each, target).isPresent())
                    .min(Comparator.comparingDouble(
                            each -> each.load() + (hasFreeSlot(each) ? 0 : profile.slots() * EVICTION_PENALTY_RATIO)));
            if (engine.isEmpty()) {
                return;
            }
            EngineView chosen = engine.get();
            if (hasFreeSlot(chosen)) {
                lastLoadMillis.put(chosen.id() + " " + target, round.nowMillis());
                round.addOrder(new PlannedOrder(chosen.id(), false, target, false, reason, ""));
                return;
            }
            evictionCandidate(chosen, target)
                    .ifPresent(victim -> round.addOrder(new PlannedOrder(
                            chosen.id(), true, victim, false, "yields to " + target + ", " + reason, "")));
        }

        /** Returns the adapter that was not asked for the longest, if it is wanted less than the new one. */
        private Optional<ModelTarget> evictionCandidate(EngineView engine, ModelTarget wanted) {
            List<ModelTarget> held = new ArrayList<>();
            engine.models()
                    .forEach((model, adapters) ->
                            adapters.forEach(adapter -> held.add(new ModelTarget(model, adapter))));
            return held.stream()
                    .filter(target -> !lastLoadMillis.containsKey(engine.id() + " " + target))
                    .filter(target -> current(target) == 0 || current(wanted) > current(target))
                    .min(Comparator.comparingLong(this::lastRequestedMillis));
        }

        private int waiting(ModelTarget target) {
            DemandTracker.Demand demand = round.demands().get(target);
            return demand == null ? 0 : demand.waiting();
        }

        private double smoothed(ModelTarget target) {
            DemandTracker.Demand demand = round.demands().get(target);
            return demand == null ? 0 : demand.smoothed();
        }

        private int current(ModelTarget target) {
            DemandTracker.Demand demand = round.demands().get(target);
            return demand == null ? 0 : demand.current();
        }

        private long lastRequestedMillis(ModelTarget target) {
            DemandTracker.Demand demand = round.demands().get(target);
            return demand == null ? Long.MIN_VALUE / 2 : demand.lastRequestedMillis();
        }
    }
}
