package io.oleandermoor.state.memory;

/** Progress of weights that take memory of an engine. */
public enum Residency {
    /** Being read from the weight store; the memory is taken. */
    LOADING,
    /** Able to serve. */
    READY,
    /** Being given up; the memory is still taken. */
    UNLOADING
}
