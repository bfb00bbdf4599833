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

/** Decides which adapters engines load and unload, based on the requests that wait for them. */
final class AdapterPlacement {

    /** Requests for each copy of an adapter above which another copy is added, as a fraction of an engine's slots. */
    private static final double COPY_UTILIZATION_THRESHOLD = 0.15;
    /** Time after a load for which an adapter is not evicted. */
    private static final long COOLDOWN_MILLIS = 300;
    /** Fraction of the slots by which an engine that has to evict an adapter must be less loaded to be preferred. */
    private static final double EVICTION_PENALTY_RATIO = 0.1;

    private final EngineProfile profile;
    private final Map<String, Long> lastLoadMillis = new HashMap<>();

    AdapterPlacement(EngineProfile profile) {
        this.profile = profile;
    }

    void place(PlanningRound round) {
        long expiredBefore = round.nowMillis() - COOLDOWN_MILLIS;
        lastLoadMillis.values().removeIf(loadedMillis -> loadedMillis < expiredBefore);
        new Pass(round).run();
    }

    private final class Pass {

        private final PlanningRound round;

        Pass(PlanningRound round) {
            this.round = round;
        }

        void run() {
            List<ModelTarget> requested = new ArrayList<>();
            round.demands().forEach((target, demand) -> {
                if (target.isAdapter()
                        && demand.current() > 0
                        && profile.models().containsKey(target.model())) {
                    requested.add(target);
                }
            });
            requested.sort(Comparator.<ModelTarget>comparingInt(target -> -waiting(target))
                    .thenComparing(ModelTarget::toString));
            for (ModelTarget target : requested) {
                long copies = round.engines().stream()
                        .filter(engine -> holds(engine, target))
                        .count();
                double perCopy = smoothed(target) / Math.max(1, copies);
                if (copies == 0 || waiting(target) > 0 || perCopy > COPY_UTILIZATION_THRESHOLD * profile.slots()) {
                    addCopy(target, copies == 0 ? "no copy" : "copies are overloaded");
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
                            chosen.id(), true, victim, false, "evicted for " + target + ", " + reason, "")));
        }

        /** Returns the least recently requested adapter of those that have fewer requests than the new one, or none. */
        private Optional<ModelTarget> evictionCandidate(EngineView engine, ModelTarget newTarget) {
            List<ModelTarget> held = new ArrayList<>();
            engine.models()
                    .forEach((model, adapters) ->
                            adapters.forEach(adapter -> held.add(new ModelTarget(model, adapter))));
            return held.stream()
                    .filter(target -> !lastLoadMillis.containsKey(engine.id() + " " + target))
                    .filter(target -> current(target) == 0 || current(newTarget) > current(target))
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
