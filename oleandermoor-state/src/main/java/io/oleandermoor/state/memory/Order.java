package io.oleandermoor.state.memory;

/**
 * One order to an engine.
 *
 * @param term the fencing number of the agent that sends the order
 * @param sequence the number of the order, unique over all agents of the upstream
 * @param kind what the engine is to do
 * @param weights what is to be loaded or unloaded
 * @param memoryMegabytes memory that the weights take, in megabytes
 */
public record Order(long term, long sequence, Kind kind, Weights weights, long memoryMegabytes) {

    /** What an order asks for. */
    public enum Kind {
        /** Make the weights resident. */
        LOAD,
        /** Give up the weights and their memory. */
        UNLOAD
    }
}
