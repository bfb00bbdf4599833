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

class ResidencyPlannerTest {

    private static final EngineProfile PROFILE = new EngineProfile(
            64,
            100_000,
            200_000,
            2,
            1.4,
            Map.of(
                    "big", model("big", 72_000, 3),
                    "other", model("other", 72_000, 0),
                    "third", model("third", 72_000, 0),
                    "fourth", model("fourth", 72_000, 0),
                    "small", model("small", 42_000, 0)));

    private final ResidencyPlanner planner = new ResidencyPlanner(PROFILE, ResidencyPolicy.CROWDED_COPIES);
    private final DemandTracker demandTracker = new DemandTracker();

    private static ModelProfile model(String name, double megabytes, int adapters) {
        return new ModelProfile(name, megabytes, 5.8, 1.2, adapters, 66);
    }

    private static EngineView engine(String id, Map<String, Set<String>> models, String... localWeights) {
        return new EngineView(id, "a", true, models, 0, "", false, Set.of(localWeights), List.of());
    }

    private void demand(Map<String, Integer> waiting) {
        Map<ModelTarget, DemandTracker.RequestCounts> counts = new HashMap<>();
        waiting.forEach(
                (target, count) -> counts.put(ModelTarget.parse(target), new DemandTracker.RequestCounts(0, count)));
        demandTracker.report("entry", counts);
        demandTracker.update(100_000);
    }

    private List<PlannedOrder> plan(int loads, EngineView... engines) {
        return planner.plan(List.of(engines), demandTracker.demands(), loads, 100_000);
    }

    @Nested
    class ModelOrders {

        @Test
        void loadsMissingModelOnEngineWithFreeMemory() {
            demand(Map.of("big", 3));
            List<PlannedOrder> orders = plan(1, engine("one", Map.of("small", Set.of())));
            assertThat(orders).singleElement().satisfies(order -> {
                assertThat(order.unload()).isFalse();
                assertThat(order.target()).isEqualTo(new ModelTarget("big", ""));
                assertThat(order.fromWeightStore()).isTrue();
            });
        }

        /** Guards against evicting a small model for a large one that still does not fit afterwards. */
        @Test
        void evictsOnlyModelsThatFreeEnoughMemory() {
            demand(Map.of("third", 3));
            List<PlannedOrder> orders =
                    plan(1, engine("one", Map.of("big", Set.of(), "small", Set.of(), "other", Set.of())));
            assertThat(orders)
                    .allSatisfy(order -> assertThat(order.target().model()).isNotEqualTo("small"));
        }

        @Test
        void prefersEngineWithLocalWeights() {
            demand(Map.of("big", 3));
            List<PlannedOrder> orders =
                    plan(1, engine("one", Map.of("other", Set.of())), engine("two", Map.of("other", Set.of()), "big"));
            assertThat(orders).singleElement().satisfies(order -> {
                assertThat(order.engine()).isEqualTo("two");
                assertThat(order.fromWeightStore()).isFalse();
            });
        }

        @Test
        void ordersNoLoadWhenWeightStoreAllowsNone() {
            demand(Map.of("big", 3));
            assertThat(plan(0, engine("one", Map.of()))).isEmpty();
        }

        /** Guards against evicting the only copy of an idle model while another model has redundant copies. */
        @Test
        void evictsRedundantCopyBeforeLastCopy() {
            demand(Map.of("third", 3));
            List<PlannedOrder> orders = plan(
                    1,
                    engine("one", Map.of("big", Set.of(), "other", Set.of())),
                    engine("two", Map.of("big", Set.of(), "fourth", Set.of())));
            assertThat(orders).singleElement().satisfies(order -> {
                assertThat(order.unload()).isTrue();
                assertThat(order.target().model()).isEqualTo("big");
                assertThat(order.incomingModel()).isEqualTo("third");
            });
        }

        /** Guards against using memory that was freed for one model for another one. */
        @Test
        void loadsIncomingModelAfterMemoryIsFreed() {
            demand(Map.of());
            EngineView engine =
                    new EngineView("one", "a", true, Map.of("other", Set.of()), 0, "third", true, Set.of(), List.of());
            assertThat(plan(0, engine))
                    .singleElement()
                    .satisfies(order -> assertThat(order.target()).isEqualTo(new ModelTarget("third", "")));
        }

        @Test
        void addsCopyWhenCopiesAreOverloaded() {
            for (int step = 0; step < 20; step++) {
                demandTracker.report(
                        "entry", Map.of(new ModelTarget("big", ""), new DemandTracker.RequestCounts(60, 0)));
                demandTracker.update(90_000 + step * 500L);
            }
            List<PlannedOrder> orders =
                    plan(1, engine("one", Map.of("big", Set.of())), engine("two", Map.of("other", Set.of())));
            assertThat(orders).singleElement().satisfies(order -> {
                assertThat(order.engine()).isEqualTo("two");
                assertThat(order.target().model()).isEqualTo("big");
            });
        }
    }

    @Nested
    class AdapterOrders {

        @Test
        void loadsAdapterThatRequestsWaitFor() {
            demand(Map.of("big/a1", 1));
            assertThat(plan(0, engine("one", Map.of("big", Set.of()))))
                    .singleElement()
                    .satisfies(order -> assertThat(order.target()).isEqualTo(new ModelTarget("big", "a1")));
        }

        @Test
        void evictsIdleAdapterWhenAllSlotsAreTaken() {
            demand(Map.of("big/a3", 1));
            assertThat(plan(0, engine("one", Map.of("big", Set.of("a1", "a2")))))
                    .singleElement()
                    .satisfies(order -> {
                        assertThat(order.unload()).isTrue();
                        assertThat(order.target().isAdapter()).isTrue();
                    });
        }
    }
}
