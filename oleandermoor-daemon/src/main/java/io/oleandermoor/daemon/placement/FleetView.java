package io.oleandermoor.daemon.placement;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.placement.EngineState;
import io.oleandermoor.state.placement.EngineStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The engines as their agents report them, together with the steps that were granted and are not yet reported. Used
 * under the lock of the placement owner.
 */
final class FleetView {

    /**
     * Time for which a granted step is assumed to be under way without a report of it: the validity of a grant, the
     * time to record the order, and some reports.
     */
    static final long PENDING_MILLIS = 6_000;

    private final Map<UpstreamId, Engine> engines = new HashMap<>();

    private final Map<UpstreamId, Map<Weights, Pending>> pending = new HashMap<>();

    private long revision;

    /** Returns a number that grows with each change of the engines, their residents and the steps under way. */
    long revision() {
        return revision;
    }

    void announced(Engine engine) {
        Engine known = engines.get(engine.id);
        // The residents of a report are more exact than those of an announcement.
        put(known == null || engine.residents.isEmpty() ? merge(engine, known) : engine);
    }

    /**
     * Takes in what an engine holds.
     *
     * @return the loads that were granted too long ago to be started any more, and that the engine does not hold
     */
    List<Weights> reported(UpstreamId upstream, List<EngineListing.Entry> residents, long nowMillis) {
        Engine known = engines.get(upstream);
        if (known == null) {
            return List.of();
        }
        put(known.with(residents));
        List<Weights> abandoned = new ArrayList<>();
        Map<Weights, Pending> steps = pending.getOrDefault(upstream, Map.of());
        steps.forEach((weights, step) -> {
            if (step.kind == Order.Kind.LOAD && nowMillis >= step.untilMillis && !holds(residents, weights)) {
                abandoned.add(weights);
            }
        });
        if (steps.entrySet().removeIf(entry -> isOver(entry.getKey(), entry.getValue(), residents, nowMillis))) {
            revision++;
        }
        return abandoned;
    }

    /** Returns the engines with granted steps that are not yet reported. */
    Set<UpstreamId> withPendingSteps() {
        return pending.entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    void granted(UpstreamId upstream, Weights weights, long megabytes, Order.Kind kind, long nowMillis) {
        pending.computeIfAbsent(upstream, key -> new LinkedHashMap<>())
                .put(weights, new Pending(kind, megabytes, nowMillis + PENDING_MILLIS));
        revision++;
    }

    boolean isPending(UpstreamId upstream, Weights weights) {
        return pending.getOrDefault(upstream, Map.of()).containsKey(weights);
    }

    /** Returns the state of all engines, with granted steps counted as under way. */
    List<EngineState> states(Function<UpstreamId, EngineStatus> status) {
        List<EngineState> states = new ArrayList<>();
        for (Engine engine : engines.values()) {
            Map<Weights, EngineListing.Entry> residents = new LinkedHashMap<>();
            engine.residents.forEach(entry -> residents.put(entry.weights(), entry));
            pending.getOrDefault(engine.id, Map.of())
                    .forEach((weights, step) ->
                            residents.merge(weights, step.toEntry(weights), (reported, granted) -> granted));
            states.add(new EngineState(
                    engine.id,
                    engine.domain,
                    engine.memoryMegabytes,
                    status.apply(engine.id),
                    List.copyOf(residents.values())));
        }
        return states;
    }

    private void put(Engine engine) {
        if (!engine.equals(engines.put(engine.id, engine))) {
            revision++;
        }
    }

    private static Engine merge(Engine engine, @Nullable Engine known) {
        return known == null ? engine : engine.with(known.residents);
    }

    private static boolean isOver(Weights weights, Pending step, List<EngineListing.Entry> residents, long nowMillis) {
        if (nowMillis >= step.untilMillis) {
            return true;
        }
        boolean present = holds(residents, weights);
        boolean unloading = residents.stream()
                .anyMatch(entry -> entry.weights().equals(weights) && entry.residency() == Residency.UNLOADING);
        return step.kind == Order.Kind.LOAD ? present : !present || unloading;
    }

    private static boolean holds(List<EngineListing.Entry> residents, Weights weights) {
        return residents.stream().anyMatch(entry -> entry.weights().equals(weights));
    }

    /**
     * One engine.
     *
     * @param id the upstream
     * @param domain its failure domain
     * @param memoryMegabytes accelerator memory in megabytes
     * @param residents what takes or may take memory
     */
    record Engine(UpstreamId id, FailureDomain domain, long memoryMegabytes, List<EngineListing.Entry> residents) {

        Engine with(List<EngineListing.Entry> others) {
            return new Engine(id, domain, memoryMegabytes, List.copyOf(others));
        }
    }

    private record Pending(Order.Kind kind, long megabytes, long untilMillis) {

        EngineListing.Entry toEntry(Weights weights) {
            return new EngineListing.Entry(
                    weights, megabytes, kind == Order.Kind.LOAD ? Residency.LOADING : Residency.UNLOADING);
        }
    }
}
