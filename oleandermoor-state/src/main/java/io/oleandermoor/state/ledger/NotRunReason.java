package io.oleandermoor.state.ledger;

/** Reason why an attempt did not run and never will. */
public enum NotRunReason {
    /** No reason was given. */
    UNSPECIFIED(true),
    /** The queue is full. */
    BUSY(true),
    /** The agent is shutting down. */
    LEAVING(true),
    /** The model or adapter is not ready at the upstream. */
    MODEL_NOT_READY(true),
    /** The deadline was exceeded before the attempt started. */
    DEADLINE_PASSED(false),
    /** The upstream could not be reached. */
    UPSTREAM_UNREACHABLE(true),
    /** The attempt was cancelled before it started. */
    CANCELLED_BEFORE_START(false),
    /** The agent never received the attempt and refuses it if it arrives later. */
    NEVER_SEEN(true),
    /** The request content is blocked because it crashed upstreams. */
    REFUSED_CONTENT(false);

    private final boolean retryable;

    NotRunReason(boolean retryUseful) {
        this.retryable = retryUseful;
    }

    /**
     * Returns whether the request may succeed at another upstream.
     *
     * @return true if the request should be retried
     */
    public boolean isRetryable() {
        return retryable;
    }
}
