package io.oleandermoor.state.placement;

/** Availability of an engine. */
public enum EngineStatus {
    /** Serves requests and accepts loads. */
    LIVE,
    /** Completes its running work before it stops; its copies do not count as available. */
    LEAVING,
    /** Unreachable; its copies do not count as available. */
    DOWN
}
