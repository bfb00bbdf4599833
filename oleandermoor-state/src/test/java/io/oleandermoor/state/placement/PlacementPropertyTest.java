package io.oleandermoor.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.placement.PlacementSimulation.Engine;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

class PlacementPropertyTest {
    private static final int STEPS = 300;

    /**
     * Guards against steps that overcommit memory, unload the last ready copy, violate the priority order of loads or
     * exceed the limits of the weight store, while demand changes and upstreams and failure domains fail and recover.
     */
    @Property(seed = "5101", tries = 300, shrinking = ShrinkingMode.OFF)
    void stepsNeverViolateSafetyRules(@ForAll long seed, @ForAll PlacementPolicy policy) {
        SplittableRandom random = new SplittableRandom(seed);
        PlacementSimulation simulation = randomFleet(random, policy);
        for (int step = 0; step < STEPS; step++) {
            applyRandomChange(simulation, random);
            simulation.tick(500 + random.nextInt(1_500), random.nextInt(20) == 0);
        }
        assertThat(simulation.violations).isEmpty();
        assertRateLimitHolds(simulation.modelLoadStartMillis);
    }

    /** Guards against a plan that is never reached because its steps block each other. */
    @Property(seed = "5102", tries = 100, shrinking = ShrinkingMode.OFF)
    void demandPlanIsReachedWhenNothingChanges(@ForAll long seed) {
        PlacementSimulation simulation = applyRandomChangesAndStabilize(seed);
        Statistics.label("plans with errors").collect(simulation.findings.hasErrors());
    }

    /** Guards against adapters that prevent a new version of their model from loading; the seeds have caused this. */
    @Example
    void adaptersDoNotBlockNewModelVersions() {
        for (long seed : new long[] {4125174528762773866L, 5129677216937640394L, 1853314894576693344L}) {
            assertThat(applyRandomChangesAndStabilize(seed).findings.hasErrors())
                    .isFalse();
        }
    }

    private static PlacementSimulation applyRandomChangesAndStabilize(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PlacementSimulation simulation = randomFleet(random, PlacementPolicy.DEMAND);
        for (int step = 0; step < 100; step++) {
            applyRandomChange(simulation, random);
            simulation.tick(1_000, step % 30 == 0);
        }
        simulation.engines.forEach(engine -> engine.status = EngineStatus.LIVE);
        for (int step = 0; step < 400; step++) {
            simulation.tick(1_000, step % 30 == 0);
        }
        assertThat(simulation.violations).isEmpty();
        if (!simulation.findings.hasErrors()) {
            assertThat(simulation.models.keySet()).allMatch(simulation::isServed);
            simulation.tick(1_000, true);
            assertThat(simulation.planDifferences()).isEmpty();
        }
        int before = simulation.executedSteps;
        simulation.tick(1_000, true);
        assertThat(simulation.executedSteps).isEqualTo(before);
        return simulation;
    }

    private static PlacementSimulation randomFleet(SplittableRandom random, PlacementPolicy policy) {
        PlacementSimulation simulation = new PlacementSimulation(policy, 4_000 + random.nextInt(8_000));
        int engines = 4 + random.nextInt(10);
        int domains = 2 + random.nextInt(3);
        for (int number = 0; number < engines; number++) {
            simulation.engines.add(new Engine(number, domains, 80_000));
        }
        int models = 2 + random.nextInt(2 * engines);
        for (int number = 0; number < models; number++) {
            simulation.addModel(number, 6_000 + random.nextInt(40_000), random.nextInt(4));
        }
        simulation.models.keySet().forEach(model -> setDemand(simulation, random, model));
        simulation.tick(1_000, true);
        return simulation;
    }

    private static void setDemand(PlacementSimulation simulation, SplittableRandom random, ModelName model) {
        double current = random.nextInt(4) == 0 ? random.nextDouble(1_500) : random.nextDouble(100);
        simulation.demand.put(model, new DemandEstimate(current, current * (0.5 + random.nextDouble())));
        simulation.changedModels.add(model);
    }

    private static void applyRandomChange(PlacementSimulation simulation, SplittableRandom random) {
        Engine engine = simulation.engines.get(random.nextInt(simulation.engines.size()));
        List<ModelName> names = List.copyOf(simulation.models.keySet());
        ModelName name = names.get(random.nextInt(names.size()));
        switch (random.nextInt(40)) {
            case 0, 1, 2, 3 -> setDemand(simulation, random, name);
            case 4 -> lose(simulation, engine);
            case 5 ->
                simulation.engines.stream()
                        .filter(other -> other.domain.equals(engine.domain) && random.nextInt(4) == 0)
                        .forEach(other -> lose(simulation, other));
            case 6 -> leave(simulation, engine);
            case 7, 8, 9, 10, 11 ->
                simulation.engines.stream()
                        .filter(other -> other.status != EngineStatus.LIVE)
                        .findFirst()
                        .ifPresent(other -> replace(simulation, other));
            case 12 -> {
                Model oldModel = simulation.models.get(name);
                String version = "" + (Integer.parseInt(oldModel.version()) + 1);
                simulation.models.put(
                        name, new Model(name, version, oldModel.memoryMegabytes(), oldModel.minimumCopies()));
                simulation.changedModels.add(name);
            }
            default -> {
                // Most steps cause no change, so that loads can complete.
            }
        }
    }

    private static void lose(PlacementSimulation simulation, Engine engine) {
        engine.markDown();
        simulation.changedEngines.add(engine.id);
    }

    private static void leave(PlacementSimulation simulation, Engine engine) {
        if (engine.status == EngineStatus.LIVE) {
            engine.status = EngineStatus.LEAVING;
            simulation.changedEngines.add(engine.id);
        }
    }

    private static void replace(PlacementSimulation simulation, Engine engine) {
        engine.markDown();
        engine.status = EngineStatus.LIVE;
        simulation.changedEngines.add(engine.id);
    }

    private static void assertRateLimitHolds(List<Long> starts) {
        double rate = PlacementSimulation.LIMITS.modelLoadsPerSecond();
        for (int first = 0; first < starts.size(); first++) {
            for (int last = first; last < starts.size(); last++) {
                double seconds = (starts.get(last) - starts.get(first)) / 1000.0;
                assertThat(last - first + 1).isLessThanOrEqualTo((int) (seconds * rate + Math.max(1, rate) + 1e-9));
            }
        }
    }
}
