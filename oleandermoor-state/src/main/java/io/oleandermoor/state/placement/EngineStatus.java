package io.oleandermoor.state.placement;

/** Whether an engine can be used. */
public enum EngineStatus {
    /** Serves, and accepts loads. */
    LIVE,
    /** Finishes its work; its copies do not count as available. */
    LEAVING,
    /** Not reachable; its copies do not count as available. */
    DOWN
}
