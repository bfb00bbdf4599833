package io.oleandermoor.gateway.upstream;

/** A way in which what an instance sends is not, or not only, the response to the request in flight. */
public enum ResponseAnomaly {
    /** Data arrived behind a response, or on a connection without a request in flight. */
    IDLE_DATA(false),
    /** A response carries the id of an earlier request of its connection. */
    EARLIER_REQUEST(false),
    /** A response carries an id that no request of its connection had. */
    UNKNOWN_REQUEST(true),
    /** A response without an id arrived on a connection that has served requests. */
    MISSING_ID(true),
    /** A response head could not be decoded. */
    MALFORMED_HEAD(true),
    /** A response body could not be decoded. */
    MALFORMED_BODY(true),
    /** A response head contains the status line of another response. */
    JOINED_HEADS(true),
    /** A response body contains the head of another response. */
    EMBEDDED_HEAD(true);

    private final boolean costsResponse;

    ResponseAnomaly(boolean costsResponse) {
        this.costsResponse = costsResponse;
    }

    /** Returns whether the response to the request in flight cannot be recognized any more. */
    boolean costsResponse() {
        return costsResponse;
    }

    /** Receives the anomalies of all connections. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Called for each anomaly.
         *
         * @param anomaly what was found
         * @param instanceId the instance that sent the data
         * @param requestId the request in flight, or the last one of an idle connection
         * @param detail what the data looked like; may contain any character
         */
        void anomalyFound(ResponseAnomaly anomaly, String instanceId, String requestId, String detail);
    }
}
