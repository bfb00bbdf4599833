package io.oleandermoor.standin.engine;

import java.util.List;
import java.util.Map;

/**
 * Settings of the engine stand-in.
 *
 * @param address the address to listen on as {@code ip:port}
 * @param models models that are loaded at the start
 * @param memoryMegabytes accelerator memory for models and adapters
 * @param sizes memory of models and adapters in megabytes; anything else takes {@value #DEFAULT_SIZE_MEGABYTES}
 * @param batch how the batch runs
 * @param fencing whether orders with an old fencing number are refused
 * @param weightStoreAddress address of the weight store as {@code ip:port}, or empty to load without one
 */
public record EngineSettings(
        String address,
        List<String> models,
        long memoryMegabytes,
        Map<String, Long> sizes,
        Batch batch,
        boolean fencing,
        String weightStoreAddress) {

    /** Memory of a model or adapter whose size is not given, in megabytes. */
    public static final long DEFAULT_SIZE_MEGABYTES = 100;

    /** Copies the collections. */
    public EngineSettings {
        models = List.copyOf(models);
        sizes = Map.copyOf(sizes);
    }

    /**
     * Returns the memory that a model or adapter takes.
     *
     * @param name the model or adapter
     * @return the size in megabytes
     */
    public long size(String name) {
        return sizes.getOrDefault(name, DEFAULT_SIZE_MEGABYTES);
    }

    /**
     * How the batch runs.
     *
     * @param slots largest number of running sequences
     * @param stepMillis time of one step, which generates one token for each running sequence, in milliseconds; with 0
     *     a sequence generates all its tokens at once
     * @param prefillTokensPerStep prompt tokens outside the prefix cache that are processed in one step
     */
    public record Batch(int slots, int stepMillis, int prefillTokensPerStep) {}
}
