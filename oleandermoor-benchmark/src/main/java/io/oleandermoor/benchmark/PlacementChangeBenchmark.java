package io.oleandermoor.benchmark;

import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.placement.EngineState;
import io.oleandermoor.state.placement.FleetChange;
import io.oleandermoor.state.placement.FleetState;
import io.oleandermoor.state.placement.PlacementPlan;
import io.oleandermoor.state.placement.PlacementPlanner;
import io.oleandermoor.state.placement.PlacementPolicy;
import io.oleandermoor.state.placement.PlacementSettings;
import io.oleandermoor.state.placement.PlacementStep;
import io.oleandermoor.state.placement.PlanVersion;
import io.oleandermoor.state.placement.StepLimits;
import io.oleandermoor.state.placement.StepPlanner;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures incremental plans for 530 models on 4,600 engines in 12 failure domains. Target: under 50 ms. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
public class PlacementChangeBenchmark {

    private static final PlanVersion VERSION = new PlanVersion(1, 1);
    private static final ModelName BURSTING = new ModelName("model-10020");
    private static final StepLimits LIMITS = new StepLimits(7, 55);

    private final PlacementPlanner planner =
            new PlacementPlanner(PlacementPolicy.DEMAND, PlacementSettings.forEngines(PlacementFleets.ENGINE_TOKENS));
    private final FleetState empty = PlacementFleets.empty(530, 4_600, 12);
    private final PlacementPlan last = planner.plan(empty, Optional.empty(), VERSION, new Findings());
    private final FleetState reached = PlacementFleets.reached(empty, last);
    private final FleetState burst = PlacementFleets.withBurst(reached, BURSTING);
    private final FleetState withoutUpstream = PlacementFleets.without(reached, PlacementChangeBenchmark::isOne);
    private final FleetState withoutDomain = PlacementFleets.without(reached, PlacementChangeBenchmark::isInDomain);
    private final FleetChange demandChange = new FleetChange(Set.of(BURSTING), Set.of());
    private final FleetChange upstreamChange = change(PlacementChangeBenchmark::isOne);
    private final FleetChange domainChange = change(PlacementChangeBenchmark::isInDomain);
    private final PlacementPlan repair = planner.replan(withoutDomain, last, domainChange, VERSION, new Findings());

    private static boolean isOne(EngineState engine) {
        return engine.id().value().equals("engine-100500");
    }

    private static boolean isInDomain(EngineState engine) {
        return engine.domain().value().equals("domain-5");
    }

    private FleetChange change(Predicate<EngineState> changed) {
        Set<UpstreamId> upstreams =
                reached.engines().stream().filter(changed).map(EngineState::id).collect(Collectors.toSet());
        return new FleetChange(Set.of(), upstreams);
    }

    /**
     * Plans after the demand for one model rose tenfold.
     *
     * @return the plan
     */
    @Benchmark
    public PlacementPlan demandChange() {
        return planner.replan(burst, last, demandChange, VERSION, new Findings());
    }

    /**
     * Plans after the loss of one upstream.
     *
     * @return the plan
     */
    @Benchmark
    public PlacementPlan lostUpstream() {
        return planner.replan(withoutUpstream, last, upstreamChange, VERSION, new Findings());
    }

    /**
     * Plans after the loss of one failure domain.
     *
     * @return the plan
     */
    @Benchmark
    public PlacementPlan lostDomain() {
        return planner.replan(withoutDomain, last, domainChange, VERSION, new Findings());
    }

    /**
     * Computes the steps after the loss of one failure domain.
     *
     * @return the steps
     */
    @Benchmark
    public List<PlacementStep> stepsAfterLostDomain() {
        return StepPlanner.steps(repair, withoutDomain, LIMITS);
    }
}
