package io.oleandermoor.state.memory;

import java.util.List;

/**
 * What an engine reports as resident, including weights that it is loading or unloading.
 *
 * @param entries the weights, in any order
 */
public record EngineListing(List<Entry> entries) {

    /** Copies the entries. */
    public EngineListing {
        entries = List.copyOf(entries);
    }

    /**
     * One piece of weights that takes memory.
     *
     * @param weights the weights
     * @param memoryMegabytes memory that they take, in megabytes
     * @param residency the progress
     */
    public record Entry(Weights weights, long memoryMegabytes, Residency residency) {}
}
