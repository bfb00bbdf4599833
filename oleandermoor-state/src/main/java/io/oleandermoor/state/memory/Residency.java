package io.oleandermoor.state.memory;

/** State of weights that occupy memory of an engine. */
public enum Residency {
    /** The weights are being read from the weight store; their memory is already in use. */
    LOADING,
    /** The weights are loaded and can serve requests. */
    READY,
    /** The weights are being unloaded; their memory is still in use. */
    UNLOADING
}
