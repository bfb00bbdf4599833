package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;

/**
 * An order that is to be sent to an engine.
 *
 * @param engine the identifier of the instance
 * @param unload whether to unload the target instead of loading it
 * @param target the model or adapter to load or unload
 * @param fromWeightStore whether the order leads to a load from the weight store
 * @param reason the reason for the order, for the log
 * @param incomingModel the model that the engine loads or frees memory for, empty for an adapter
 */
public record PlannedOrder(
        String engine,
        boolean unload,
        ModelTarget target,
        boolean fromWeightStore,
        String reason,
        String incomingModel) {}
