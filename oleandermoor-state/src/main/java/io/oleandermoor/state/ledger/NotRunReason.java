package io.oleandermoor.state.ledger;

/** Why an attempt did not run and never will. */
public enum NotRunReason {
    /** No reason was given. */
    UNSPECIFIED(true),
    /** The queue is full. */
    BUSY(true),
    /** The agent is leaving. */
    LEAVING(true),
    /** The model or adapter is not ready there. */
    MODEL_NOT_READY(true),
    /** The deadline passed before the start. */
    DEADLINE_PASSED(false),
    /** The upstream could not be reached. */
    UPSTREAM_UNREACHABLE(true),
    /** The attempt was cancelled before the start. */
    CANCELLED_BEFORE_START(false),
    /** The agent never saw the attempt and refuses it from now on. */
    NEVER_SEEN(true),
    /** The content is blocked because it crashed upstreams. */
    REFUSED_CONTENT(false);

    private final boolean retryable;

    NotRunReason(boolean retryUseful) {
        this.retryable = retryUseful;
    }

    /**
     * Returns whether another upstream may run the request.
     *
     * @return true if another attempt is useful
     */
    public boolean isRetryable() {
        return retryable;
    }
}
