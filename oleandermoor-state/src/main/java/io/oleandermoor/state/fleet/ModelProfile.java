package io.oleandermoor.state.fleet;

/**
 * A model that the engines of a service can load.
 *
 * @param name the name of the model
 * @param weightMegabytes the memory for its weights
 * @param storeLoadSeconds the load time from the weight store while few loads are in progress
 * @param diskLoadSeconds the load time from the instance's local disk
 * @param adapterCount the number of its adapters, which are named a1, a2 and so on
 * @param adapterMegabytes the memory for the weights of one adapter
 */
public record ModelProfile(
        String name,
        double weightMegabytes,
        double storeLoadSeconds,
        double diskLoadSeconds,
        int adapterCount,
        double adapterMegabytes) {}
