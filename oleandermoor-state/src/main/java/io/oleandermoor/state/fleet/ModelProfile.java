package io.oleandermoor.state.fleet;

/**
 * A model that a service can hold.
 *
 * @param name the name of the model
 * @param weightMegabytes the memory that its weights take
 * @param storeLoadSeconds the time of a load from the weight store while few loads run
 * @param diskLoadSeconds the time of a load from the instance's own disk
 * @param adapterCount the number of its adapters, named a1, a2 and so on
 * @param adapterMegabytes the memory that one adapter takes
 */
public record ModelProfile(
        String name,
        double weightMegabytes,
        double storeLoadSeconds,
        double diskLoadSeconds,
        int adapterCount,
        double adapterMegabytes) {}
