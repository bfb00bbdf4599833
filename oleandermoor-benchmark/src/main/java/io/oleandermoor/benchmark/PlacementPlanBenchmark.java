package io.oleandermoor.benchmark;

import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.placement.FleetState;
import io.oleandermoor.state.placement.PlacementPlan;
import io.oleandermoor.state.placement.PlacementPlanner;
import io.oleandermoor.state.placement.PlacementPolicy;
import io.oleandermoor.state.placement.PlacementSettings;
import io.oleandermoor.state.placement.PlanVersion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures full plans. Target: under 1 s on one core for 530 models on 4,600 engines. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
public class PlacementPlanBenchmark {

    private static final PlanVersion VERSION = new PlanVersion(1, 1);

    /** Models/engines/failure domains. */
    @Param({"14/6/3", "530/4600/12", "5000/20000/12"})
    public String size = "";

    private final PlacementPlanner planner =
            new PlacementPlanner(PlacementPolicy.DEMAND, PlacementSettings.forEngines(PlacementFleets.ENGINE_TOKENS));
    private FleetState empty = PlacementFleets.empty(1, 1, 1);
    private FleetState reached = empty;
    private PlacementPlan last = planner.plan(empty, Optional.empty(), VERSION, new Findings());

    /** Creates the fleet and reaches its first plan. */
    @Setup
    public void createFleet() {
        String[] parts = size.split("/");
        empty = PlacementFleets.empty(
                Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
        last = planner.plan(empty, Optional.empty(), VERSION, new Findings());
        reached = PlacementFleets.reached(empty, last);
    }

    /**
     * Plans a fleet that holds nothing.
     *
     * @return the plan
     */
    @Benchmark
    public PlacementPlan emptyFleet() {
        return planner.plan(empty, Optional.empty(), VERSION, new Findings());
    }

    /**
     * Plans a fleet that has reached its last plan.
     *
     * @return the plan
     */
    @Benchmark
    public PlacementPlan steadyFleet() {
        return planner.plan(reached, Optional.of(last), VERSION, new Findings());
    }
}
