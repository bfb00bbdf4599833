package io.oleandermoor.state.routing;

/** Lifecycle state of an upstream, which determines whether it accepts new requests. */
public enum UpstreamStatus {
    /** The upstream or its agent is not ready yet. */
    STARTING(false),
    /** The upstream accepts new requests. */
    READY(true),
    /** The upstream is draining: it completes its current requests and accepts no new ones. */
    LEAVING(false);

    private final boolean acceptsRequests;

    UpstreamStatus(boolean acceptsRequests) {
        this.acceptsRequests = acceptsRequests;
    }

    /**
     * Returns whether an upstream with this status accepts new requests.
     *
     * @return true if new requests may be sent to it
     */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }
}
