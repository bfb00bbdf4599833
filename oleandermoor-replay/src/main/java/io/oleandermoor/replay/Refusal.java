package io.oleandermoor.replay;

/** Why a request was not served. */
public enum Refusal {
    /** It was served. */
    NONE,
    /** The team had no tokens. */
    RATE,
    /** No upstream served it in time, or the upstream was lost. */
    UPSTREAM,
    /** Its content has crashed upstreams. */
    CONTENT
}
