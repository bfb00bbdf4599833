package io.oleandermoor.state.routing;

/** Tells whether an upstream takes new work. */
public enum UpstreamStatus {
    /** The upstream or its agent is not ready yet. */
    STARTING(false),
    /** The upstream takes new work. */
    READY(true),
    /** The upstream finishes its work and takes no new work. */
    LEAVING(false);

    private final boolean takesWork;

    UpstreamStatus(boolean takesWork) {
        this.takesWork = takesWork;
    }

    /**
     * Returns whether new work may be sent to an upstream with this status.
     *
     * @return true if new work is accepted
     */
    public boolean takesWork() {
        return takesWork;
    }
}
