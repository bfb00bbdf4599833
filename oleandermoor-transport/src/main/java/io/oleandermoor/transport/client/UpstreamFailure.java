package io.oleandermoor.transport.client;

/** How a call to an upstream failed. */
public enum UpstreamFailure {
    /** No connection could be opened, so nothing was sent. */
    NOT_SENT(true),
    /** The connection ended or fell silent after the request was sent. */
    BROKEN(false),
    /** The call was cancelled by this process. */
    CANCELLED(false);

    private final boolean certainlyNotRun;

    UpstreamFailure(boolean certainlyNotRun) {
        this.certainlyNotRun = certainlyNotRun;
    }

    /**
     * Returns whether the upstream certainly did not run the call.
     *
     * @return true if nothing was sent
     */
    public boolean isCertainlyNotRun() {
        return certainlyNotRun;
    }
}
