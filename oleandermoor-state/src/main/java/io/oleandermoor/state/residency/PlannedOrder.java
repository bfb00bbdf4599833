package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;

/**
 * An order that an engine should get.
 *
 * @param engine the instance
 * @param unload whether to drop instead of to load
 * @param target the model or adapter
 * @param fromWeightStore whether the order starts a load from the weight store
 * @param reason why, for the log
 * @param incomingModel the model that the engine loads or makes room for, empty for an adapter
 */
public record PlannedOrder(
        String engine,
        boolean unload,
        ModelTarget target,
        boolean fromWeightStore,
        String reason,
        String incomingModel) {}
