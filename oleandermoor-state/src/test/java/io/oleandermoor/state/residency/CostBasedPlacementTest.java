package io.oleandermoor.state.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.EngineProfile;
import io.oleandermoor.state.fleet.ModelProfile;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CostBasedPlacementTest {

    private static final long NOW_MILLIS = 100_000;
    private static final EngineProfile PROFILE = new EngineProfile(
            64,
            100_000,
            200_000,
            2,
            1.4,
            Map.of(
                    "first", model("first"),
                    "second", model("second"),
                    "third", model("third"),
                    "fourth", model("fourth")));

    private final ResidencyPlanner planner = new ResidencyPlanner(PROFILE, ResidencyPolicy.LEAST_HARM);
    private final DemandTracker demandTracker = new DemandTracker();

    private static ModelProfile model(String name) {
        return new ModelProfile(name, 72_000, 5.8, 1.2, 0, 66);
    }

    private static EngineView engine(String id, String... models) {
        return loading(id, "", models);
    }

    private static EngineView loading(String id, String incoming, String... models) {
        Map<String, Set<String>> held = new HashMap<>();
        for (String model : models) {
            held.put(model, Set.of());
        }
        Set<String> localWeights = Set.of("first", "second", "third", "fourth");
        return new EngineView(id, "a", incoming.isEmpty(), held, 0, incoming, false, localWeights, List.of());
    }

    private List<PlannedOrder> plan(Map<String, Integer> running, EngineView... engines) {
        Map<ModelTarget, DemandTracker.RequestCounts> counts = new HashMap<>();
        running.forEach(
                (model, count) -> counts.put(new ModelTarget(model, ""), new DemandTracker.RequestCounts(count, 0)));
        demandTracker.report("entry", counts);
        demandTracker.update(NOW_MILLIS);
        return planner.plan(List.of(engines), demandTracker.demands(), 2, NOW_MILLIS);
    }

    @Nested
    class BeforeTheFirstRequest {

        /** Guards against evicting copies of the model with the highest expected demand for idle models at startup. */
        @Test
        void doesNotEvictReplicatedModelForIdleModels() {
            assertThat(plan(Map.of(), engine("one", "first", "second"), engine("two", "first", "third")))
                    .isEmpty();
        }

        /**
         * Guards against evicting the only copy of a model for further copies of a model with merely expected demand.
         */
        @Test
        void doesNotAddCopiesForExpectedDemand() {
            assertThat(plan(
                            Map.of("first", 1),
                            engine("one", "first", "second"),
                            engine("two", "first", "third"),
                            engine("three", "second", "third")))
                    .isEmpty();
        }
    }

    @Nested
    class UnderLoad {

        /** Guards against leaving two busy models on one engine while other engines hold only idle models. */
        @Test
        void separatesTwoBusyModelsThatShareAnEngine() {
            List<PlannedOrder> orders = plan(
                    Map.of("first", 25, "second", 25),
                    engine("one", "first", "second"),
                    engine("two", "third", "fourth"));
            assertThat(orders).isNotEmpty().allSatisfy(order -> {
                assertThat(order.unload()).isTrue();
                assertThat(order.engine()).isNotEqualTo("one");
                assertThat(order.incomingModel()).isIn("first", "second");
            });
        }

        /** Guards against never loading a model in demand because all engines are overloaded. */
        @Test
        void loadsMissingModelWhenAllEnginesAreOverloaded() {
            List<PlannedOrder> orders =
                    plan(Map.of("first", 90, "second", 60), engine("one", "first"), engine("two", "first"));
            assertThat(orders).anySatisfy(order -> {
                assertThat(order.unload()).isFalse();
                assertThat(order.target().model()).isEqualTo("second");
            });
        }

        /**
         * Guards against leaving a single copy with far more requests than slots: a second copy must count as a gain
         * even if both engines remain overloaded with half of the requests each.
         */
        @Test
        void addsCopyWhenOnlyCopyIsOverloaded() {
            assertThat(plan(
                            Map.of("first", 210, "second", 10),
                            engine("one", "first"),
                            engine("two", "second", "third")))
                    .anySatisfy(order -> assertThat(order.incomingModel()).isEqualTo("first"));
        }

        /** Guards against refusing all requests for one model because every engine is busy with other models. */
        @Test
        void loadsMissingModelInPlaceOfAFurtherCopyWhenAllEnginesAreBusy() {
            List<PlannedOrder> orders = plan(
                    Map.of("first", 60, "second", 60, "third", 30),
                    engine("one", "first", "second"),
                    engine("two", "first", "second"));
            assertThat(orders)
                    .anySatisfy(order -> assertThat(order.incomingModel()).isEqualTo("third"));
        }

        /** Guards against evicting the last ready copy of a busy model because other copies are still being loaded. */
        @Test
        void doesNotEvictLastReadyCopyWhileOtherCopiesLoad() {
            List<PlannedOrder> orders = plan(
                    Map.of("first", 30, "second", 2),
                    engine("one", "first", "third"),
                    loading("two", "first", "fourth"),
                    loading("three", "first", "fourth"));
            assertThat(orders).singleElement().satisfies(order -> {
                assertThat(order.target().model()).isEqualTo("third");
                assertThat(order.incomingModel()).isEqualTo("second");
            });
        }

        /** Guards against replacing models for a gain that is smaller than the cost of disturbing the engines. */
        @Test
        void givesNoOrdersWhenLoadIsBalanced() {
            assertThat(plan(
                            Map.of("first", 6, "second", 6, "third", 1, "fourth", 1),
                            engine("one", "first", "third"),
                            engine("two", "second", "fourth"),
                            engine("three", "first", "second")))
                    .isEmpty();
        }
    }

    @Nested
    class DuringRisingDemand {

        @Test
        void forecastExceedsSmoothedDemand() {
            ModelTarget target = new ModelTarget("first", "");
            for (int step = 0; step <= 20; step++) {
                demandTracker.report("entry", Map.of(target, new DemandTracker.RequestCounts(step, 0)));
                demandTracker.update(NOW_MILLIS + step * 100L);
            }
            DemandTracker.Demand demand = demandTracker.demands().get(target);
            assertThat(demand.forecast()).isGreaterThan(demand.smoothed()).isLessThan(2 * demand.current());
        }
    }

    /** Engines that hold three models of the middle size, and a model that needs the room of two of them. */
    @Nested
    class WhenNoSingleEvictionMakesRoom {

        private static final int MAXIMUM_ROUNDS = 10;
        private static final EngineProfile MIXED_SIZES = new EngineProfile(
                64,
                100_000,
                200_000,
                8,
                1.4,
                Map.of(
                        "first", new ModelProfile("first", 65_100, 5.8, 1.2, 0, 66),
                        "second", new ModelProfile("second", 65_300, 5.8, 1.2, 0, 66),
                        "third", new ModelProfile("third", 65_500, 5.8, 1.2, 0, 66),
                        "fourth", new ModelProfile("fourth", 65_500, 5.8, 1.2, 0, 66),
                        "large", new ModelProfile("large", 72_700, 6.4, 1.3, 15, 66)));

        private final ResidencyPlanner mixedPlanner = new ResidencyPlanner(MIXED_SIZES, ResidencyPolicy.LEAST_HARM);
        private final Map<String, EngineView> engines = new HashMap<>();
        private long nowMillis = NOW_MILLIS;

        private void hold(String engine, String... models) {
            engines.put(engine, engine(engine, models));
        }

        /** Plans and carries out orders until the model has a copy or the rounds are used up. */
        private void playUntilLoaded(String model, Map<String, Integer> waiting) {
            for (int round = 0; round < MAXIMUM_ROUNDS && copies(model) == 0; round++) {
                Map<ModelTarget, DemandTracker.RequestCounts> counts = new HashMap<>();
                waiting.forEach((name, count) ->
                        counts.put(new ModelTarget(name, ""), new DemandTracker.RequestCounts(0, count)));
                demandTracker.report("entry", counts);
                demandTracker.update(nowMillis);
                mixedPlanner
                        .plan(engines.values(), demandTracker.demands(), 2, nowMillis)
                        .forEach(this::carryOut);
                nowMillis += 1_000;
            }
        }

        private void carryOut(PlannedOrder order) {
            Map<String, Set<String>> held =
                    new HashMap<>(engines.get(order.engine()).models());
            if (order.unload()) {
                held.remove(order.target().model());
            } else {
                held.put(order.target().model(), Set.of());
            }
            engines.put(
                    order.engine(),
                    new EngineView(
                            order.engine(),
                            "a",
                            true,
                            held,
                            0,
                            order.unload() ? order.incomingModel() : "",
                            order.unload(),
                            MIXED_SIZES.models().keySet(),
                            order.remainingVictims()));
            assertThat(usedMegabytes(order.engine())).isLessThanOrEqualTo(MIXED_SIZES.weightMemoryMegabytes());
        }

        private double usedMegabytes(String engine) {
            return engines.get(engine).models().keySet().stream()
                    .mapToDouble(model -> MIXED_SIZES.models().get(model).weightMegabytes())
                    .sum();
        }

        private long copies(String model) {
            return engines.values().stream()
                    .filter(engine -> engine.models().containsKey(model))
                    .count();
        }

        /** Guards against refusing all requests for a model that fits in place of no single other model. */
        @Test
        void loadsTheLargeModelInPlaceOfTwoOthers() {
            hold("one", "first", "second", "third");
            hold("two", "first", "second", "fourth");
            playUntilLoaded("large", Map.of("large", 20, "first", 4, "second", 4));
            assertThat(copies("large")).isOne();
        }

        /** Guards against making room by evicting the only copy of a model that more requests ask for. */
        @Test
        void keepsACopyOfEachBusierModel() {
            hold("one", "first", "second", "third");
            hold("two", "first", "second", "fourth");
            playUntilLoaded("large", Map.of("large", 5, "first", 40, "second", 40));
            assertThat(copies("first")).isPositive();
            assertThat(copies("second")).isPositive();
        }

        /** Guards against evicting more models than the large one needs. */
        @Test
        void evictsNoMoreModelsThanNeeded() {
            hold("one", "first", "second", "third");
            playUntilLoaded("large", Map.of("large", 20));
            assertThat(engines.get("one").models()).hasSize(2);
        }
    }
}
