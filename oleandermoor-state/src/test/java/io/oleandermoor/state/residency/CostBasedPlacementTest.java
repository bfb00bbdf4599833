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
    private final DemandTracker board = new DemandTracker();

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
        Set<String> atHand = Set.of("first", "second", "third", "fourth");
        return new EngineView(id, "a", incoming.isEmpty(), held, 0, incoming, false, atHand);
    }

    private List<PlannedOrder> plan(Map<String, Integer> running, EngineView... engines) {
        Map<ModelTarget, DemandTracker.RequestCounts> wanted = new HashMap<>();
        running.forEach(
                (model, count) -> wanted.put(new ModelTarget(model, ""), new DemandTracker.RequestCounts(count, 0)));
        board.report("entry", wanted);
        board.update(NOW_MILLIS);
        return planner.plan(List.of(engines), board.demands(), 2, NOW_MILLIS);
    }

    @Nested
    class BeforeTheFirstRequest {

        /** Guards against a start in which the busiest model has lost its copies to models that nobody asks for. */
        @Test
        void doesNotEvictReplicatedModelForIdleModels() {
            assertThat(plan(Map.of(), engine("one", "first", "second"), engine("two", "first", "third")))
                    .isEmpty();
        }

        /** Guards against models that lose their only copy to more copies of one that is only expected to be busy. */
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

        /** Guards against two busy models on one engine while other engines hold only silent models. */
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

        /** Guards against a model that everybody waits for and that no engine takes, because all are crowded. */
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
         * Guards against a single copy with far more requests than slots, whose engine is as crowded with half of them.
         */
        @Test
        void addsCopyWhenOnlyCopyIsOverloaded() {
            assertThat(plan(
                            Map.of("first", 210, "second", 10),
                            engine("one", "first"),
                            engine("two", "second", "third")))
                    .anySatisfy(order -> assertThat(order.incomingModel()).isEqualTo("first"));
        }

        /** Guards against a busy model whose last ready copy yields because other copies of it are being loaded. */
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

        /** Guards against engines that are reloaded for a gain that the disturbance eats up. */
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
                board.report("entry", Map.of(target, new DemandTracker.RequestCounts(step, 0)));
                board.update(NOW_MILLIS + step * 100L);
            }
            DemandTracker.Demand demand = board.demands().get(target);
            assertThat(demand.forecast()).isGreaterThan(demand.smoothed()).isLessThan(2 * demand.current());
        }
    }
}
