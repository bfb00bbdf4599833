package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.Weights;
import java.util.Optional;

/**
 * One load or unload that leads towards a plan.
 *
 * @param kind whether to load or unload
 * @param upstream the engine that executes the step
 * @param weights the model or adapter to load or unload
 * @param memoryMegabytes memory that the weights use, in megabytes
 * @param retainedOn for an unload of weights that are still configured: the upstream whose ready copy remains. The
 *     executor may ask it for confirmation first, because the state may have changed.
 */
public record PlacementStep(
        Order.Kind kind, UpstreamId upstream, Weights weights, long memoryMegabytes, Optional<UpstreamId> retainedOn) {}
