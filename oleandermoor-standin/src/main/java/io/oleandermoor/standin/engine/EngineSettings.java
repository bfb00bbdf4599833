package io.oleandermoor.standin.engine;

import java.util.List;

/**
 * Settings of the engine stand-in.
 *
 * @param address the address to listen on as {@code ip:port}
 * @param models models that are loaded at the start
 * @param slots largest number of sequences in a batch
 * @param stepMillis time of one step, which generates one token for each running sequence, in milliseconds
 */
public record EngineSettings(String address, List<String> models, int slots, int stepMillis) {

    /** Copies the list. */
    public EngineSettings {
        models = List.copyOf(models);
    }
}
