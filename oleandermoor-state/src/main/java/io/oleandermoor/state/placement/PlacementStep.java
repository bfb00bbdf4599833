package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.Order;
import io.oleandermoor.state.memory.Weights;
import java.util.Optional;

/**
 * One load or unload on the way to a plan.
 *
 * @param kind whether to load or unload
 * @param upstream the engine that is to execute the step
 * @param weights what to load or unload
 * @param memoryMegabytes memory that the weights take, in megabytes
 * @param retainedOn for an unload of something that is still configured: the upstream whose ready copy stays, which the
 *     executor may ask for confirmation before it acts on a state that may have changed
 */
public record PlacementStep(
        Order.Kind kind, UpstreamId upstream, Weights weights, long memoryMegabytes, Optional<UpstreamId> retainedOn) {}
