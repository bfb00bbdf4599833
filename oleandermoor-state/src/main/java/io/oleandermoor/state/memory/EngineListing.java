package io.oleandermoor.state.memory;

import java.util.List;

/**
 * The weights that an engine reports as resident, including those that it is loading or unloading.
 *
 * @param entries the weights, in any order
 */
public record EngineListing(List<Entry> entries) {

    /** Makes a defensive copy of the entries. */
    public EngineListing {
        entries = List.copyOf(entries);
    }

    /**
     * Weights that occupy memory.
     *
     * @param weights the weights
     * @param memoryMegabytes memory that the weights occupy, in megabytes
     * @param residency whether the weights are loading, ready or unloading
     */
    public record Entry(Weights weights, long memoryMegabytes, Residency residency) {}
}
