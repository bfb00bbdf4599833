package io.oleandermoor.benchmark;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;
import io.oleandermoor.state.placement.DemandEstimate;
import io.oleandermoor.state.placement.EngineState;
import io.oleandermoor.state.placement.EngineStatus;
import io.oleandermoor.state.placement.FleetState;
import io.oleandermoor.state.placement.PlacementPlan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Fleets of a given size with skewed demand. The same size gives the same fleet. */
final class PlacementFleets {

    /** Tokens/s of one engine; the peak load of the target size, 1.3 million tokens/s, uses half of 4,600 engines. */
    static final double ENGINE_TOKENS = 600;

    private static final double MEAN_ENGINE_DEMAND = 283;
    private static final long ENGINE_MEGABYTES = 80_000;
    private static final long ADAPTER_MEGABYTES = 250;

    private PlacementFleets() {}

    /** Returns a fleet without resident weights, with three adapters for each model. */
    static FleetState empty(int modelCount, int engineCount, int domainCount) {
        SplittableRandom random = new SplittableRandom(42);
        List<EngineState> engines = new ArrayList<>(engineCount);
        for (int engine = 0; engine < engineCount; engine++) {
            engines.add(new EngineState(
                    new UpstreamId("engine-" + (100_000 + engine)),
                    new FailureDomain("domain-" + engine % domainCount),
                    ENGINE_MEGABYTES,
                    EngineStatus.LIVE,
                    List.of()));
        }
        List<Model> models = new ArrayList<>(modelCount);
        List<Adapter> adapters = new ArrayList<>(modelCount * 3);
        double weightSum = 0;
        for (int model = 0; model < modelCount; model++) {
            ModelName name = new ModelName("model-" + (10_000 + model));
            models.add(new Model(name, "1", 8_000 + random.nextInt(20_000), 2));
            weightSum += 1.0 / (model + 1);
            for (int adapter = 0; adapter < 3; adapter++) {
                adapters.add(
                        new Adapter(new AdapterName("adapter-" + model + "-" + adapter), name, "1", ADAPTER_MEGABYTES));
            }
        }
        Map<ModelName, DemandEstimate> demand = new HashMap<>();
        for (int model = 0; model < modelCount; model++) {
            double present = MEAN_ENGINE_DEMAND * engineCount / weightSum / (model + 1);
            demand.put(
                    models.get(model).name(), new DemandEstimate(present, present * (0.8 + 0.4 * random.nextDouble())));
        }
        return new FleetState(engines, models, adapters, demand);
    }

    /** Returns the fleet after a plan has been reached. */
    static FleetState reached(FleetState state, PlacementPlan plan) {
        Map<Weights, Long> memory = new HashMap<>();
        state.models().forEach(model -> memory.put(ModelVersion.of(model), model.memoryMegabytes()));
        state.adapters().forEach(adapter -> memory.put(AdapterVersion.of(adapter), adapter.memoryMegabytes()));
        List<EngineState> engines = new ArrayList<>(state.engines().size());
        for (EngineState engine : state.engines()) {
            List<EngineListing.Entry> residents = new ArrayList<>();
            plan.assignment(engine.id())
                    .models()
                    .forEach(weights -> residents.add(
                            new EngineListing.Entry(weights, memory.getOrDefault(weights, 0L), Residency.READY)));
            plan.assignment(engine.id())
                    .adapters()
                    .forEach(weights -> residents.add(
                            new EngineListing.Entry(weights, memory.getOrDefault(weights, 0L), Residency.READY)));
            engines.add(new EngineState(
                    engine.id(), engine.domain(), engine.memoryMegabytes(), engine.status(), residents));
        }
        return new FleetState(engines, state.models(), state.adapters(), state.demand());
    }

    /** Returns the fleet after some engines were lost. */
    static FleetState without(FleetState state, Predicate<EngineState> lost) {
        List<EngineState> engines = state.engines().stream()
                .map(engine -> lost.test(engine)
                        ? new EngineState(
                                engine.id(), engine.domain(), engine.memoryMegabytes(), EngineStatus.DOWN, List.of())
                        : engine)
                .toList();
        return new FleetState(engines, state.models(), state.adapters(), state.demand());
    }

    /** Returns the fleet with tenfold demand for one model. */
    static FleetState withBurst(FleetState state, ModelName model) {
        Map<ModelName, DemandEstimate> demand = new HashMap<>(state.demand());
        DemandEstimate old = state.demandOf(model);
        demand.put(model, new DemandEstimate(old.current() * 10, old.forecast() * 10));
        return new FleetState(state.engines(), state.models(), state.adapters(), demand);
    }
}
