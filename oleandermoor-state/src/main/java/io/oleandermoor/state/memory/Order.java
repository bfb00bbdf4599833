package io.oleandermoor.state.memory;

/**
 * An order to an engine to load or unload weights.
 *
 * @param term the fencing number of the agent that sends the order
 * @param sequence the sequence number of the order, unique across all agents of the upstream
 * @param kind whether to load or unload the weights
 * @param weights the weights to load or unload
 * @param memoryMegabytes memory that the weights occupy, in megabytes
 */
public record Order(long term, long sequence, Kind kind, Weights weights, long memoryMegabytes) {

    /** Kinds of orders. */
    public enum Kind {
        /** Loads the weights. */
        LOAD,
        /** Unloads the weights and releases their memory. */
        UNLOAD
    }
}
