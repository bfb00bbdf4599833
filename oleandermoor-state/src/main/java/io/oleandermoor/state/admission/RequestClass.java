package io.oleandermoor.state.admission;

/** Urgency of a request. */
public enum RequestClass {

    /** A caller waits for the response; served before batch. */
    LIVE,

    /** Work without a waiting caller; receives a guaranteed share. */
    BATCH
}
