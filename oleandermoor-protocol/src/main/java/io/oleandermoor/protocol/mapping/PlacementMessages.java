package io.oleandermoor.protocol.mapping;

import io.oleandermoor.protocol.message.Resident;
import io.oleandermoor.protocol.message.ResidentState;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;

/** Converts messages between agents and the placement owner. */
public final class PlacementMessages {

    private PlacementMessages() {}

    /**
     * Returns the weights of a name.
     *
     * @param name the model or adapter
     * @param version the version
     * @param adapter whether it is an adapter
     * @return the weights
     */
    public static Weights weights(String name, String version, boolean adapter) {
        return adapter
                ? new AdapterVersion(new AdapterName(name), version)
                : new ModelVersion(new ModelName(name), version);
    }

    /**
     * Converts a resident.
     *
     * @param entry the resident
     * @return the message
     */
    public static Resident toMessage(EngineListing.Entry entry) {
        Weights weights = entry.weights();
        return Resident.newBuilder()
                .setName(weights.nameText())
                .setVersion(weights.version())
                .setAdapter(weights.isAdapter())
                .setState(ResidentState.valueOf(entry.residency().name()))
                .setMegabytes(entry.memoryMegabytes())
                .build();
    }

    /**
     * Converts a resident.
     *
     * @param resident the message
     * @return the resident
     */
    public static EngineListing.Entry fromMessage(Resident resident) {
        Residency residency = switch (resident.getState()) {
            case READY -> Residency.READY;
            case UNLOADING -> Residency.UNLOADING;
            default -> Residency.LOADING;
        };
        return new EngineListing.Entry(
                weights(resident.getName(), resident.getVersion(), resident.getAdapter()),
                resident.getMegabytes(),
                residency);
    }
}
