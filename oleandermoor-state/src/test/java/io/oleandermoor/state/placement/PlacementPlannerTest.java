package io.oleandermoor.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.finding.Severity;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.Residency;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementPlannerTest {
    private static final PlanVersion FIRST = new PlanVersion(1, 1);
    private static final PlanVersion SECOND = new PlanVersion(1, 2);
    private static final StepLimits UNLIMITED = new StepLimits(100, 100);

    private final PlacementPlanner planner =
            new PlacementPlanner(PlacementPolicy.DEMAND, PlacementSettings.forEngines(100));
    private final Findings findings = new Findings();

    @Nested
    class FullPlan {
        /**
         * Guards against copies that all fail with one failure domain, and adapters placed without their base model.
         */
        @Test
        void spreadsCopiesOverFailureDomainsAndPlacesAdaptersWithTheirModel() {
            FleetState state = fleet(6, 3, 100, model("a", "1", 30), model("b", "1", 30));
            PlacementPlan plan = planner.plan(state, Optional.empty(), FIRST, findings);
            assertThat(findings.list()).isEmpty();
            for (Model model : state.models()) {
                Set<FailureDomain> domains = state.engines().stream()
                        .filter(engine -> plan.assignment(engine.id()).models().contains(ModelVersion.of(model)))
                        .map(EngineState::domain)
                        .collect(Collectors.toSet());
                assertThat(domains).hasSize(2);
            }
            assertThat(plan.upstreams().values().stream()
                            .filter(assignment -> !assignment.adapters().isEmpty()))
                    .hasSize(2)
                    .allMatch(assignment -> assignment
                            .models()
                            .contains(ModelVersion.of(state.models().get(0))));
        }

        /** Guards against plans that depend on the order in which engines are reported. */
        @Test
        void isIndependentOfEngineOrder() {
            FleetState state = fleet(8, 3, 100, model("a", "1", 30), model("b", "1", 50), model("c", "1", 45));
            List<EngineState> shuffled = new ArrayList<>(state.engines());
            Collections.shuffle(shuffled, new Random(1));
            FleetState reordered = new FleetState(shuffled, state.models(), state.adapters(), state.demand());
            assertThat(planner.plan(reordered, Optional.empty(), FIRST, findings))
                    .isEqualTo(planner.plan(state, Optional.empty(), FIRST, findings));
        }

        /**
         * Guards against a configuration that does not fit and is rejected as a whole, or in part without a finding.
         */
        @Test
        void placesModelsThatFitAndReportsTheOthersAsErrors() {
            FleetState state = fleet(2, 2, 100, model("a", "1", 60), model("b", "1", 60), model("c", "1", 60));
            PlacementPlan plan = planner.plan(state, Optional.empty(), FIRST, findings);
            assertThat(plan.upstreams().values())
                    .allMatch(assignment -> assignment.models().size() == 1);
            assertThat(findings.list().stream().filter(finding -> finding.severity() == Severity.ERROR))
                    .singleElement()
                    .matches(finding -> finding.place().equals("models/c"));
        }

        /** Guards against reassignments that are caused by small changes of demand. */
        @Test
        void isUnchangedAfterSmallDemandChange() {
            FleetState state = fleet(6, 3, 100, model("a", "1", 30), model("b", "1", 30));
            PlacementPlan plan = planner.plan(state, Optional.empty(), FIRST, findings);
            FleetState changed = new FleetState(
                    state.engines(),
                    state.models(),
                    state.adapters(),
                    Map.of(new ModelName("a"), new DemandEstimate(141, 141)));
            PlacementPlan next = planner.plan(changed, Optional.of(plan), SECOND, findings);
            assertThat(next.upstreams()).isEqualTo(plan.upstreams());
            assertThat(next.isNewerThan(plan)).isTrue();
            assertThat(plan.isNewerThan(next)).isFalse();
        }
    }

    @Nested
    class IncrementalPlan {
        /** Guards against an incremental plan that moves models that are not affected by the change. */
        @Test
        void addsCopiesOfChangedModelAndKeepsOtherAssignments() {
            FleetState state = fleet(8, 4, 100, model("a", "1", 30), model("b", "1", 30), model("c", "1", 30));
            PlacementPlan plan = planner.plan(state, Optional.empty(), FIRST, findings);
            FleetState burst = new FleetState(
                    state.engines(),
                    state.models(),
                    state.adapters(),
                    Map.of(new ModelName("a"), new DemandEstimate(400, 400)));
            FleetChange change = new FleetChange(Set.of(new ModelName("a")), Set.of());
            PlacementPlan next = planner.replan(burst, plan, change, SECOND, findings);
            assertThat(copies(next, "a")).isGreaterThan(copies(plan, "a"));
            plan.upstreams()
                    .forEach((upstream, assignment) ->
                            assertThat(next.assignment(upstream).models()).containsAll(assignment.models()));
            assertThat(copies(next, "b") + copies(next, "c")).isEqualTo(copies(plan, "b") + copies(plan, "c"));
        }
    }

    @Nested
    class Steps {
        /** Guards against an unload of the only ready copy before the new version is ready. */
        @Test
        void loadNewVersionElsewhereBeforeUnloadingOldVersion() {
            FleetState state = fleet(2, 2, 100, model("a", "2", 60));
            EngineListing.Entry oldVersion =
                    new EngineListing.Entry(new ModelVersion(new ModelName("a"), "1"), 60, Residency.READY);
            FleetState running = withResidents(state, 0, oldVersion);
            PlacementPlan plan = planner.plan(running, Optional.empty(), FIRST, findings);
            List<PlacementStep> steps = StepPlanner.steps(plan, running, UNLIMITED);
            assertThat(steps)
                    .singleElement()
                    .matches(step -> step.kind() == Order.Kind.LOAD
                            && step.upstream().equals(state.engines().get(1).id())
                            && step.weights().version().equals("2"));
            EngineListing.Entry ready = new EngineListing.Entry(steps.get(0).weights(), 60, Residency.READY);
            List<PlacementStep> next = StepPlanner.steps(plan, withResidents(running, 1, ready), UNLIMITED);
            assertThat(next)
                    .filteredOn(step -> step.kind() == Order.Kind.UNLOAD)
                    .singleElement()
                    .matches(step -> step.weights().equals(oldVersion.weights())
                            && step.retainedOn()
                                    .equals(Optional.of(state.engines().get(1).id())));
        }

        /** Guards against load limits of the weight store being used for second copies before first copies. */
        @Test
        void loadModelsWithoutCopiesFirst() {
            FleetState state = fleet(4, 2, 100, model("a", "1", 30), model("b", "1", 30));
            EngineListing.Entry ready =
                    new EngineListing.Entry(new ModelVersion(new ModelName("a"), "1"), 30, Residency.READY);
            FleetState running = withResidents(state, 0, ready);
            PlacementPlan plan = planner.plan(running, Optional.empty(), FIRST, findings);
            assertThat(StepPlanner.steps(plan, running, new StepLimits(1, 0)))
                    .singleElement()
                    .matches(step -> step.weights().nameText().equals("b"));
        }
    }

    /**
     * Guards against a plan that JSON does not preserve, or that exceeds the 1 MB of a value at the target fleet size.
     */
    @Test
    void planForTargetFleetSurvivesJsonBelowMaximumValueSize() throws Exception {
        Model[] models = new Model[530];
        for (int index = 0; index < models.length; index++) {
            models[index] = model("model-with-a-long-name-" + index, "2026-12-01", 10);
        }
        Map<ModelName, DemandEstimate> demand = new HashMap<>();
        for (Model model : models) {
            demand.put(model.name(), new DemandEstimate(1_900, 1_900));
        }
        FleetState fleet = fleet(4_600, 12, 100, models);
        FleetState state = new FleetState(fleet.engines(), fleet.models(), fleet.adapters(), demand);
        PlacementPlan plan = planner.plan(state, Optional.empty(), FIRST, findings);
        ObjectMapper mapper = new ObjectMapper();
        byte[] json = mapper.writeValueAsBytes(plan);
        assertThat(json).hasSizeLessThan(1_000_000);
        assertThat(mapper.readValue(json, PlacementPlan.class)).isEqualTo(plan);
    }

    private static long copies(PlacementPlan plan, String model) {
        return plan.upstreams().values().stream()
                .flatMap(assignment -> assignment.models().stream())
                .filter(version -> version.nameText().equals(model))
                .count();
    }

    private static Model model(String name, String version, long memory) {
        return new Model(new ModelName(name), version, memory, 1);
    }

    /** Returns a fleet without resident weights; the first model has an adapter. */
    private static FleetState fleet(int engineCount, int domains, long memory, Model... models) {
        List<EngineState> engines = new ArrayList<>();
        for (int number = 0; number < engineCount; number++) {
            engines.add(new EngineState(
                    new UpstreamId("engine-" + (10_000 + number)),
                    new FailureDomain("d" + number % domains),
                    memory,
                    EngineStatus.LIVE,
                    List.of()));
        }
        Adapter adapter = new Adapter(new AdapterName("adapter"), models[0].name(), "1", 5);
        return new FleetState(engines, List.of(models), List.of(adapter), Map.of());
    }

    private static FleetState withResidents(FleetState state, int number, EngineListing.Entry... residents) {
        List<EngineState> engines = new ArrayList<>(state.engines());
        EngineState engine = engines.get(number);
        engines.set(
                number,
                new EngineState(
                        engine.id(), engine.domain(), engine.memoryMegabytes(), engine.status(), List.of(residents)));
        return new FleetState(engines, state.models(), state.adapters(), state.demand());
    }
}
