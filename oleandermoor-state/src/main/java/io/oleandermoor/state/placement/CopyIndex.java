package io.oleandermoor.state.placement;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Copies on usable engines by model or adapter, regardless of version. Includes the effect of computed steps. */
final class CopyIndex {

    /** One ready copy. */
    record Copy(EngineState engine, Weights weights, boolean assigned) {}

    private final Map<Object, List<Copy>> readyCopies = new HashMap<>();
    private final Map<Object, Integer> copyCounts = new HashMap<>();
    private final Map<ModelName, Model> models = new HashMap<>();
    private final Map<AdapterName, Adapter> adapters = new HashMap<>();

    CopyIndex(PlacementPlan plan, FleetState state) {
        state.models().forEach(model -> models.put(model.name(), model));
        state.adapters().forEach(adapter -> adapters.put(adapter.name(), adapter));
        for (EngineState engine : state.engines()) {
            if (engine.status() == EngineStatus.LIVE) {
                for (EngineListing.Entry resident : engine.residents()) {
                    add(plan, engine, resident);
                }
            }
        }
    }

    private void add(PlacementPlan plan, EngineState engine, EngineListing.Entry resident) {
        Weights weights = resident.weights();
        if (resident.residency() == Residency.READY) {
            readyCopies
                    .computeIfAbsent(name(weights), name -> new ArrayList<>(2))
                    .add(new Copy(engine, weights, isAssigned(plan, engine, weights)));
        }
        if (resident.residency() != Residency.UNLOADING) {
            incrementCopyCount(weights);
        }
    }

    static boolean isAssigned(PlacementPlan plan, EngineState engine, Weights weights) {
        PlacementPlan.Assignment assignment = plan.assignment(engine.id());
        return weights.isAdapter()
                ? assignment.adapters().contains(weights)
                : assignment.models().contains(weights);
    }

    /** Returns the name of weights, a key that all their versions share. */
    private static Object name(Weights weights) {
        if (weights instanceof ModelVersion version) {
            return version.name();
        }
        return ((AdapterVersion) weights).name();
    }

    boolean isConfigured(Weights weights) {
        Object name = name(weights);
        return models.containsKey(name) || adapters.containsKey(name);
    }

    /** Returns the configured memory of weights, or 0 if they are not configured. */
    long memoryMegabytes(Weights weights) {
        if (weights instanceof ModelVersion version) {
            Model model = models.get(version.name());
            return model == null ? 0 : model.memoryMegabytes();
        }
        Adapter adapter = adapters.get(((AdapterVersion) weights).name());
        return adapter == null ? 0 : adapter.memoryMegabytes();
    }

    /** Returns the model itself or the base model of an adapter; empty for an adapter that is not configured. */
    Optional<ModelName> baseModel(Weights weights) {
        if (weights instanceof ModelVersion version) {
            return Optional.of(version.name());
        }
        return Optional.ofNullable(adapters.get(((AdapterVersion) weights).name()))
                .map(Adapter::model);
    }

    /** Returns the number of copies that are ready, being loaded, or about to be loaded. */
    int copyCount(Weights weights) {
        return copyCounts.getOrDefault(name(weights), 0);
    }

    void incrementCopyCount(Weights weights) {
        copyCounts.merge(name(weights), 1, Integer::sum);
    }

    /** Returns the ready copies that no computed step unloads. */
    List<Copy> readyCopies(Weights weights) {
        return readyCopies.getOrDefault(name(weights), List.of());
    }

    /** Returns a ready copy other than the given one, preferably one that is assigned by the plan. */
    Optional<Copy> otherReadyCopy(EngineState engine, Weights weights) {
        Optional<Copy> other = Optional.empty();
        for (Copy copy : readyCopies(weights)) {
            boolean same =
                    copy.engine().id().equals(engine.id()) && copy.weights().equals(weights);
            if (!same && (copy.assigned() || other.isEmpty())) {
                other = Optional.of(copy);
                if (copy.assigned()) {
                    return other;
                }
            }
        }
        return other;
    }

    void removeReady(EngineState engine, Weights weights) {
        readyCopies
                .getOrDefault(name(weights), new ArrayList<>())
                .removeIf(copy ->
                        copy.engine().id().equals(engine.id()) && copy.weights().equals(weights));
    }
}
