package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import java.util.List;

/**
 * An order that is to be sent to an engine.
 *
 * @param engine the identifier of the instance
 * @param unload whether to unload the target instead of loading it
 * @param target the model or adapter to load or unload
 * @param fromWeightStore whether the order leads to a load from the weight store
 * @param reason the reason for the order, for the log
 * @param incomingModel the model that the engine loads or frees memory for, empty for an adapter
 * @param remainingVictims the models that the engine has to unload after this order before the incoming model fits, in
 *     this order
 */
public record PlannedOrder(
        String engine,
        boolean unload,
        ModelTarget target,
        boolean fromWeightStore,
        String reason,
        String incomingModel,
        List<String> remainingVictims) {

    /** Copies the remaining victims. */
    public PlannedOrder {
        remainingVictims = List.copyOf(remainingVictims);
    }

    /** Creates an order after which nothing else has to be unloaded. */
    public PlannedOrder(
            String engine,
            boolean unload,
            ModelTarget target,
            boolean fromWeightStore,
            String reason,
            String incomingModel) {
        this(engine, unload, target, fromWeightStore, reason, incomingModel, List.of());
    }
}
