package io.oleandermoor.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.placement.PlacementSimulation.Engine;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Compares DEMAND with the baseline policies in virtual time, under the same demand and the same engine failures. */
class PolicyComparisonTest {
    /** So many that the means of the policies differ by more than chance. */
    private static final int SEEDS = 100;

    private static final int TICK_SECONDS = 20;
    private static final int START_MINUTE = 8 * 60;
    private static final int RUN_MINUTES = 120;
    private static final int HORIZON_MINUTES = 5;

    private record Score(double attainment, double servedRatio, double minimumServedRatio, double modelLoads) {}

    /** Demand for one model over the day: a low base level and a peak around one time of day. */
    private record Profile(double level, double peakMinute, double width) {
        double at(double minute) {
            double distance = (minute - peakMinute) / width;
            return level * (0.1 + 0.9 * StrictMath.exp(-distance * distance));
        }
    }

    /** Guards against a demand policy that serves less than the baselines, or loads more often than LEAST_LOADED. */
    @Test
    void demandPolicyServesMoreThanBaselinesWithFewerLoads() {
        for (int[] size : new int[][] {{14, 6, 3}, {40, 24, 4}}) {
            Map<PlacementPolicy, List<Score>> scores = new EnumMap<>(PlacementPolicy.class);
            for (PlacementPolicy policy : PlacementPolicy.values()) {
                scores.put(
                        policy,
                        IntStream.range(0, SEEDS)
                                .parallel()
                                .mapToObj(seed -> run(policy, size, seed))
                                .toList());
                System.out.println(size[0] + "/" + size[1] + " " + policy + ": " + describe(scores.get(policy)));
            }
            double demand = mean(scores.get(PlacementPolicy.DEMAND), Score::attainment);
            assertThat(demand).isGreaterThan(mean(scores.get(PlacementPolicy.STATIC), Score::attainment));
            assertThat(demand)
                    .isGreaterThanOrEqualTo(mean(scores.get(PlacementPolicy.LEAST_LOADED), Score::attainment));
            assertThat(mean(scores.get(PlacementPolicy.DEMAND), Score::modelLoads))
                    .isLessThan(mean(scores.get(PlacementPolicy.LEAST_LOADED), Score::modelLoads));
        }
    }

    private static String describe(List<Score> scores) {
        return String.format(
                "attainment per accelerator %.4f, served ratio %.4f, model loads %.1f, minimum per model %.4f",
                mean(scores, Score::attainment),
                mean(scores, Score::servedRatio),
                mean(scores, Score::modelLoads),
                mean(scores, Score::minimumServedRatio));
    }

    private static double mean(List<Score> scores, ToDoubleFunction<Score> part) {
        return scores.stream().mapToDouble(part).average().orElse(0);
    }

    private static Score run(PlacementPolicy policy, int[] size, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PlacementSimulation simulation = new PlacementSimulation(policy, 20_000);
        for (int number = 0; number < size[1]; number++) {
            simulation.engines.add(new Engine(number, size[2], 80_000));
        }
        Map<ModelName, Profile> profiles = new HashMap<>();
        for (int number = 0; number < size[0]; number++) {
            simulation.addModel(number, 6_000 + random.nextInt(14_000), 2);
        }
        double meanLevel = 1.6 * size[1] * PlacementSimulation.ENGINE_TOKENS_PER_SECOND / size[0];
        for (ModelName model : simulation.models.keySet()) {
            double level = meanLevel * StrictMath.pow(random.nextDouble(), 2) * 3;
            double peak = START_MINUTE - 60 + random.nextDouble(RUN_MINUTES + 120);
            profiles.put(model, new Profile(level, peak, 30 + random.nextDouble(40)));
        }
        Map<ModelName, List<List<Double>>> days = new HashMap<>();
        profiles.forEach((model, profile) -> days.put(model, earlierDays(profile, random.split())));
        Map<ModelName, Double> requested = new TreeMap<>();
        Map<ModelName, Double> served = new TreeMap<>();
        Map<ModelName, List<Double>> recent = new HashMap<>();
        for (int tick = 0; tick < RUN_MINUTES * 60 / TICK_SECONDS; tick++) {
            double minute = START_MINUTE + tick * TICK_SECONDS / 60.0;
            boolean wholeMinute = tick * TICK_SECONDS % 60 == 0;
            for (ModelName model : simulation.models.keySet()) {
                double current = profiles.get(model).at(minute) * (0.8 + 0.4 * random.nextDouble());
                List<Double> samples = recent.computeIfAbsent(model, key -> new ArrayList<>());
                if (wholeMinute) {
                    samples.add(current);
                }
                DemandHistory history = new DemandHistory(
                        days.get(model), samples.subList(Math.max(0, samples.size() - 10), samples.size()));
                double forecast = DemandForecaster.forecast(history, List.of(), (int) minute, HORIZON_MINUTES);
                simulation.demand.put(model, new DemandEstimate(current, forecast));
            }
            applyRandomFailures(simulation, random);
            simulation.tick((TICK_SECONDS - 1) * 1_000, wholeMinute);
            // Steps follow confirmations immediately; an unload takes less than a second.
            simulation.tick(1_000, false);
            serve(simulation, requested, served);
        }
        assertThat(simulation.violations).isEmpty();
        double totalServed =
                served.values().stream().mapToDouble(Double::doubleValue).sum();
        double totalRequested =
                requested.values().stream().mapToDouble(Double::doubleValue).sum();
        double capacity = PlacementSimulation.ENGINE_TOKENS_PER_SECOND * size[1] * RUN_MINUTES * 60 / TICK_SECONDS;
        double minimumServedRatio = requested.keySet().stream()
                .mapToDouble(model -> served.get(model) / requested.get(model))
                .min()
                .orElse(0);
        return new Score(
                totalServed / capacity,
                totalServed / totalRequested,
                minimumServedRatio,
                simulation.modelLoadStartMillis.size());
    }

    private static List<List<Double>> earlierDays(Profile profile, SplittableRandom random) {
        List<List<Double>> days = new ArrayList<>();
        for (int day = 0; day < 3; day++) {
            double level = 0.8 + 0.4 * random.nextDouble();
            List<Double> hours = new ArrayList<>();
            for (int hour = 0; hour < 24; hour++) {
                hours.add(level * profile.at(hour * 60 + 30));
            }
            days.add(hours);
        }
        return days;
    }

    /** Fails an engine every half hour on average and replaces it after five minutes on average. */
    private static void applyRandomFailures(PlacementSimulation simulation, SplittableRandom random) {
        int chosen = random.nextInt(simulation.engines.size());
        boolean fails = random.nextInt(1_800 / TICK_SECONDS) == 0;
        boolean replaces = random.nextInt(300 / TICK_SECONDS) == 0;
        Engine engine = simulation.engines.get(chosen);
        if (fails && engine.status == EngineStatus.LIVE) {
            engine.markDown();
            simulation.changedEngines.add(engine.id);
        }
        for (Engine other : simulation.engines) {
            if (replaces && other != engine && other.status == EngineStatus.DOWN) {
                other.status = EngineStatus.LIVE;
                simulation.changedEngines.add(other.id);
            }
        }
    }

    /** Distributes the demand over the ready copies; demand that exceeds an engine is offered to the other copies. */
    private static void serve(
            PlacementSimulation simulation, Map<ModelName, Double> requested, Map<ModelName, Double> served) {
        Map<Engine, Double> remainingCapacity = new HashMap<>();
        simulation.engines.forEach(
                engine -> remainingCapacity.put(engine, PlacementSimulation.ENGINE_TOKENS_PER_SECOND));
        Map<ModelName, Double> unservedDemand = new TreeMap<>();
        simulation.demand.forEach((model, demand) -> unservedDemand.put(model, demand.current()));
        unservedDemand.forEach((model, tokens) -> requested.merge(model, tokens, Double::sum));
        unservedDemand.keySet().forEach(model -> served.merge(model, 0.0, Double::sum));
        Map<ModelName, List<Engine>> ready = new HashMap<>();
        for (ModelName model : unservedDemand.keySet()) {
            ready.put(
                    model,
                    simulation.engines.stream()
                            .filter(engine -> engine.isReady(model))
                            .toList());
        }
        for (int round = 0; round < 20; round++) {
            for (ModelName model : unservedDemand.keySet()) {
                List<Engine> copies = ready.get(model).stream()
                        .filter(engine -> remainingCapacity.get(engine) > 1e-6)
                        .toList();
                // Small, growing portions in each round approximate a fair division of shared engines.
                double offered = simulation.demand.get(model).current() / 20 * (1 + round);
                for (Engine engine : copies) {
                    double tokens = Math.min(
                            remainingCapacity.get(engine),
                            Math.min(unservedDemand.get(model), offered / copies.size()));
                    remainingCapacity.merge(engine, -tokens, Double::sum);
                    unservedDemand.merge(model, -tokens, Double::sum);
                    served.merge(model, tokens, Double::sum);
                }
            }
        }
    }
}
