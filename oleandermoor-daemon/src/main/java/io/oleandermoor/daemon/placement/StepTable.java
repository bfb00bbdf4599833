package io.oleandermoor.daemon.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.placement.FleetState;
import io.oleandermoor.state.placement.PlacementPlan;
import io.oleandermoor.state.placement.PlacementStep;
import io.oleandermoor.state.placement.StepLimits;
import io.oleandermoor.state.placement.StepPlanner;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The steps of all engines, computed once for each change of their input. Without it each request of an agent would
 * compute the steps of the whole fleet, which at thousands of engines takes more than a core. Used under the lock of
 * the placement owner.
 */
final class StepTable {

    /** Age after which steps are computed again, because the status of an engine changes without a report. */
    static final long LIFETIME_MILLIS = 500;

    private @Nullable Content content;

    /**
     * Returns the steps of one engine with the state that they were computed from.
     *
     * @param upstream the engine
     * @param input what the steps depend on
     * @param state computes the present state; called only if the input has changed
     * @param nowMillis the time
     * @return the steps; empty if there is nothing to do
     */
    Optional<Steps> steps(UpstreamId upstream, Input input, Supplier<FleetState> state, long nowMillis) {
        Content current = content(input, state, nowMillis);
        return Optional.ofNullable(current.steps.get(upstream)).map(list -> new Steps(list, current.state));
    }

    /**
     * Returns the engines for which there are steps.
     *
     * @param input what the steps depend on
     * @param state computes the present state; called only if the input has changed
     * @param nowMillis the time
     * @return the engines
     */
    Set<UpstreamId> engines(Input input, Supplier<FleetState> state, long nowMillis) {
        return content(input, state, nowMillis).steps.keySet();
    }

    private Content content(Input input, Supplier<FleetState> state, long nowMillis) {
        Content current = content;
        if (current == null
                || !current.input.isSameAs(input)
                || nowMillis - current.computedMillis >= LIFETIME_MILLIS) {
            FleetState computedFrom = state.get();
            Map<UpstreamId, List<PlacementStep>> steps =
                    StepPlanner.steps(input.plan, computedFrom, input.limits).stream()
                            .collect(Collectors.groupingBy(PlacementStep::upstream));
            current = new Content(input, computedFrom, steps, nowMillis);
            content = current;
        }
        return current;
    }

    /**
     * What steps depend on, besides the status of engines.
     *
     * @param plan the plan in force
     * @param fleetRevision counts the changes of the fleet
     * @param limits the loads that the weight store permits now
     */
    record Input(PlacementPlan plan, long fleetRevision, StepLimits limits) {

        boolean isSameAs(Input other) {
            return plan == other.plan && fleetRevision == other.fleetRevision && limits.equals(other.limits);
        }
    }

    /**
     * Steps of one engine.
     *
     * @param steps the steps
     * @param state the state of the fleet that they were computed from
     */
    record Steps(List<PlacementStep> steps, FleetState state) {}

    private record Content(
            Input input, FleetState state, Map<UpstreamId, List<PlacementStep>> steps, long computedMillis) {}
}
