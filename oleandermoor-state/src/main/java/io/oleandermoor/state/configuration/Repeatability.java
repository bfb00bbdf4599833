package io.oleandermoor.state.configuration;

/** Whether a call may be sent to an upstream more than once. */
public enum Repeatability {
    /** Calls are idempotent and may be retried. */
    IDEMPOTENT(true),
    /** Calls must be executed at most once. */
    AT_MOST_ONCE(false);

    private final boolean retryAllowed;

    Repeatability(boolean retryAllowed) {
        this.retryAllowed = retryAllowed;
    }

    /**
     * Returns whether a call may be sent again if its outcome is unknown.
     *
     * @return true if a retry is allowed
     */
    public boolean isRetryAllowed() {
        return retryAllowed;
    }
}
