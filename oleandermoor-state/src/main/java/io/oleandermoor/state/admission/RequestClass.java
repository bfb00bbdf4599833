package io.oleandermoor.state.admission;

/** Urgency of a request. */
public enum RequestClass {

    /** Work whose caller waits for the response; served before batch work. */
    LIVE,

    /** Work without a waiting caller; receives a guaranteed share of the service. */
    BATCH
}
