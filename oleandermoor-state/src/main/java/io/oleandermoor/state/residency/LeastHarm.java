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
final class LeastHarm implements ModelPlacement {

    /** Time for which a placement is expected to be of use; demand moves on within some ten seconds. */
    private static final double HORIZON_SECONDS = 15;
    /** Share of an engine's slots at which a request is harmed by one: about half of its streams are late then. */
    private static final double FULL_SHARE = 0.5;
    /** Harm of a model without a copy for each request that runs or waits for it: it is refused and comes back. */
    private static final double MISSING_HARM = 5;
    /** Harm of a model without a copy that anybody asks for, so that rare ones get their turn. */
    private static final double MISSING_ANY_HARM = 2;
    /** Harm of a single copy for each request: the chance that it is lost within the horizon. */
    private static final double SINGLE_HARM = 0.1;
    /** Harm of a model that nobody asks for now and that would have to come from the weight store, or from a disk. */
    private static final double ABSENT_HARM = 1.5;

    private static final double AT_HAND_HARM = 0.5;
    /** Weight of that harm for models that were asked for lately, were resident at first, or neither. */
    private static final double RECENT_WEIGHT = 2.0;

    private static final double RESIDENT_WEIGHT = 1.0;
    private static final double UNTRIED_WEIGHT = 0.5;
    /** Time for which a model counts as asked for lately. */
    private static final long RECENT_MILLIS = 15_000;
    /** Least gain of a move, so that equal placements do not take turns. */
    private static final double LEAST_GAIN = 0.15;
    /** Disturbance by an order: for each request of the engine, up to a bound, and for each that has to end first. */
    private static final double LOAD_DISTURBANCE = 0.05;

    private static final double LARGEST_LOAD_DISTURBANCE = 0.6;
    private static final double ENDING_DISTURBANCE = 0.1;
    /** Time that an unload takes beyond the load, and the time until its last run has ended if it has any. */
    private static final double UNLOAD_SECONDS = 0.5;

    private static final double ENDING_SECONDS = 2.5;
    /** Time for which a model in demand does not yield after its load was ordered. */
    private static final long REST_MILLIS = 4_000;
    /** Demand below which a model counts as not asked for. */
    private static final double LEAST_DEMAND = 0.05;
    /** Requests for which each copy stands that an engine held when it was first seen, where there are several. */
    private static final double EXPECTED_PER_COPY = 8;
    /** Time in which that expectation falls to a third once requests come. */
    private static final double EXPECTATION_MILLIS = 3_000;

    private final EngineProfile profile;
    private final EngineMemory memory;
    private final Set<String> seen = new HashSet<>();
    private final Map<String, Integer> firstCopies = new HashMap<>();
    private final Map<String, Long> placedMillis = new HashMap<>();
    private long firstDemandMillis = Long.MAX_VALUE;

    LeastHarm(EngineProfile profile) {
        this.profile = profile;
        this.memory = new EngineMemory(profile);
    }

    @Override
    public void place(PlanningRound round) {
        for (EngineView engine : round.engines()) {
            if (seen.add(engine.id())) {
                engine.models().keySet().forEach(model -> firstCopies.merge(model, 1, Integer::sum));
            }
        }
        boolean asked = round.wantedModels().stream()
                .anyMatch(model -> round.demand(model).present() > 0);
        if (asked && firstDemandMillis == Long.MAX_VALUE) {
            firstDemandMillis = round.nowMillis();
        }
        placedMillis.values().removeIf(placed -> round.nowMillis() - placed >= REST_MILLIS);
        new Search(round).run();
    }

    private double expected(String model, long nowMillis) {
        int copies = firstCopies.getOrDefault(model, 0);
        if (copies < 2) {
            return 0;
        }
        double age = Math.max(0, nowMillis - Math.min(nowMillis, firstDemandMillis));
        return EXPECTED_PER_COPY * copies * Math.exp(-age / EXPECTATION_MILLIS);
    }

    /**
     * An engine with the load that its models bring, if each model's demand is divided evenly among its copies: among
     * those that are there now, and among those that will be there when the orders under way are done.
     */
    private static final class Place {

        private final EngineView engine;
        private final Set<String> models;
        /** What is lost when a model yields, until a move changes the loads. */
        private final Map<String, Double> losses = new HashMap<>();

        private List<String> victims = List.of();
        private double load;
        private double presentLoad;

        private Place(EngineView engine) {
            this.engine = engine;
            this.models = new HashSet<>(engine.models().keySet());
            if (!engine.incoming().isEmpty()) {
                models.add(engine.incoming());
            }
        }
    }

    /** A copy more of one model, in place of another one where it does not fit otherwise. */
    private record Move(Place place, String model, Optional<String> victim, double gain) {}

    private final class Search {

        private final PlanningRound round;
        private final List<Place> places = new ArrayList<>();
        private final Map<String, List<Place>> holders = new HashMap<>();
        private final Map<String, Double> demands = new HashMap<>();
        private final Map<String, List<Place>> present = new HashMap<>();
        private final Set<String> atHand = new HashSet<>();
        /** The places that can be given an order; few of all, and all that a move may change. */
        private final List<Place> open = new ArrayList<>();

        Search(PlanningRound round) {
            this.round = round;
            for (String model : profile.models().keySet()) {
                PlanningRound.ModelDemand demand = round.demand(model);
                double amount = Math.max(demand.forecast(), expected(model, round.nowMillis()));
                demands.put(model, demand.present() > 0 || amount > LEAST_DEMAND ? amount : 0);
                holders.put(model, new ArrayList<>());
            }
            for (EngineView engine : round.engines()) {
                Place place = new Place(engine);
                places.add(place);
                atHand.addAll(engine.weightsAtHand());
                place.models.forEach(model ->
                        holders.computeIfAbsent(model, key -> new ArrayList<>()).add(place));
            }
            // Where copies are crowded, requests that wait and come back count more than once.
            demands.replaceAll((model, demand) -> Math.min(demand, (copies(model) + 1.0) * profile.slots()));
            for (Place place : places) {
                place.models.forEach(model -> place.load += share(model, copies(model)));
                place.engine
                        .models()
                        .keySet()
                        .forEach(model -> place.presentLoad += share(model, presentCopies(model)));
                if (round.mayOrder(place.engine) && place.engine.incoming().isEmpty()) {
                    place.victims = place.engine.models().keySet().stream()
                            .filter(victim -> mayYield(place, victim))
                            .toList();
                    open.add(place);
                }
            }
        }

        void run() {
            for (int moves = 0; moves < places.size(); moves++) {
                Optional<Move> best = best();
                if (best.isEmpty()) {
                    return;
                }
                make(best.get());
            }
        }

        private double demand(String model) {
            return demands.getOrDefault(model, 0.0);
        }

        private int copies(String model) {
            return holders.getOrDefault(model, List.of()).size();
        }

        private List<Place> presentHolders(String model) {
            return present.computeIfAbsent(
                    model,
                    key -> holders.getOrDefault(key, List.of()).stream()
                            .filter(place -> place.engine.models().containsKey(key))
                            .toList());
        }

        private int presentCopies(String model) {
            return presentHolders(model).size();
        }

        private double share(String model, int copies) {
            return copies == 0 ? 0 : demand(model) / copies;
        }

        private Optional<Move> best() {
            @Nullable Move best = null;
            for (String model : demands.keySet()) {
                // What is only expected protects copies, it makes none.
                double expected = expected(model, round.nowMillis());
                if (copies(model) > 0
                        && (demand(model) == 0 || round.demand(model).forecast() < expected)) {
                    continue;
                }
                for (Place place : open) {
                    if (!place.models.contains(model) && round.mayLoad(place.engine, model)) {
                        best = best(best, place, model);
                    }
                }
            }
            return Optional.ofNullable(best).filter(move -> move.gain() > LEAST_GAIN);
        }

        private @Nullable Move best(@Nullable Move soFar, Place place, String model) {
            @Nullable Move best = soFar;
            double crowding = crowding(place, model);
            if (memory.fits(place.engine, model)) {
                return better(best, move(place, model, crowding, Optional.empty()));
            }
            for (String victim : place.victims) {
                if (memory.fitsWithout(place.engine, victim, model)) {
                    best = better(best, move(place, model, crowding, Optional.of(victim)));
                }
            }
            return best;
        }

        private boolean mayYield(Place place, String victim) {
            long placed = placedMillis.getOrDefault(place.engine.id() + " " + victim, Long.MIN_VALUE / 2);
            return demand(victim) == 0 || round.nowMillis() - placed >= REST_MILLIS;
        }

        private static Move better(@Nullable Move best, Move next) {
            return best == null || next.gain() > best.gain() ? next : best;
        }

        private Move move(Place place, String model, double crowding, Optional<String> victim) {
            double gain = Math.max(0, -crowding);
            if (copies(model) == 0) {
                gain += missing(model, atHand.contains(model));
            } else if (copies(model) == 1) {
                gain += SINGLE_HARM * demand(model);
            }
            double seconds = loadSeconds(place, model) + unloadSeconds(victim);
            double worth = gain * Math.max(0, HORIZON_SECONDS - seconds) / HORIZON_SECONDS;
            double cost = Math.max(0, crowding) + disturbance(place, victim);
            if (victim.isPresent()) {
                cost += place.losses.computeIfAbsent(victim.get(), yielding -> loss(place, yielding));
            }
            return new Move(place, model, victim, worth - cost);
        }

        private double loadSeconds(Place place, String model) {
            ModelProfile known = profile.models().get(model);
            if (known == null) {
                return HORIZON_SECONDS;
            }
            return place.engine.weightsAtHand().contains(model) ? known.diskLoadSeconds() : known.storeLoadSeconds();
        }

        private double unloadSeconds(Optional<String> victim) {
            return victim.map(model -> UNLOAD_SECONDS + (demand(model) > 0 ? ENDING_SECONDS : 0))
                    .orElse(0.0);
        }

        private double disturbance(Place place, Optional<String> victim) {
            double ending = victim.map(model -> share(model, copies(model))).orElse(0.0);
            return Math.min(LARGEST_LOAD_DISTURBANCE, LOAD_DISTURBANCE * (1 + place.load))
                    + ENDING_DISTURBANCE * ending;
        }

        /**
         * Returns what is lost when a copy yields; the engine keeps the weights at hand. Copies that are still being
         * loaded do not stand in for it.
         */
        private double loss(Place place, String victim) {
            int copies = presentCopies(victim);
            if (copies <= 1) {
                return missing(victim, true);
            }
            double yielded = share(victim, copies);
            double burden = share(victim, copies - 1) - yielded;
            double change = harm(place.presentLoad - yielded) - harm(place.presentLoad);
            for (Place holder : presentHolders(victim)) {
                if (holder != place) {
                    change += harm(holder.presentLoad + burden) - harm(holder.presentLoad);
                }
            }
            return Math.max(0, change) + (copies == 2 ? SINGLE_HARM * demand(victim) : 0);
        }

        private double missing(String model, boolean weightsAtHand) {
            if (demand(model) > 0) {
                return MISSING_ANY_HARM + MISSING_HARM * demand(model);
            }
            boolean recent = round.nowMillis() - round.demand(model).lastWantedMillis() < RECENT_MILLIS;
            double weight = recent ? RECENT_WEIGHT : firstCopies.containsKey(model) ? RESIDENT_WEIGHT : UNTRIED_WEIGHT;
            return weight * (weightsAtHand ? AT_HAND_HARM : ABSENT_HARM);
        }

        /** Returns how the harm by crowded engines changes with one more copy; negative if it becomes less. */
        private double crowding(Place place, String model) {
            double added = share(model, copies(model) + 1);
            double relief = added - share(model, copies(model));
            double change = harm(place.load + added) - harm(place.load);
            for (Place holder : holders.getOrDefault(model, List.of())) {
                change += harm(holder.load + relief) - harm(holder.load);
            }
            return change;
        }

        /**
         * Returns the harm by an engine's load: late requests up to its slots, refused ones beyond. It goes on to grow,
         * so that a crowded engine always gains by a copy on one that is less crowded.
         */
        private double harm(double load) {
            double full = FULL_SHARE * profile.slots();
            double most = profile.slots();
            return load <= most ? load * load / full : (most * most + 2 * most * (load - most)) / full;
        }

        private void make(Move move) {
            String reason = String.format(
                    "demand %.1f of %d copies, gain %.2f", demand(move.model()), copies(move.model()), move.gain());
            Place place = move.place();
            for (String victim : move.victim().stream().toList()) {
                double before = share(victim, copies(victim));
                holders.getOrDefault(victim, List.of()).remove(place);
                place.models.remove(victim);
                place.load -= before;
                spread(victim, before);
            }
            double before = share(move.model(), copies(move.model()));
            spread(move.model(), before, copies(move.model()) + 1);
            holders.computeIfAbsent(move.model(), key -> new ArrayList<>()).add(place);
            place.models.add(move.model());
            place.load += share(move.model(), copies(move.model()));
            placedMillis.put(place.engine.id() + " " + move.model(), round.nowMillis());
            open.remove(place);
            open.forEach(each -> each.losses.clear());
            move.victim().ifPresent(present::remove);
            move.victim()
                    .ifPresentOrElse(
                            victim -> round.replace(place.engine, victim, move.model(), reason),
                            () -> round.load(place.engine, move.model(), reason));
        }

        private void spread(String model, double before) {
            spread(model, before, copies(model));
        }

        /** Gives the present holders of a model their new part of its demand. */
        private void spread(String model, double before, int copies) {
            double after = share(model, copies);
            holders.getOrDefault(model, List.of()).forEach(holder -> holder.load += after - before);
        }
    }
}
