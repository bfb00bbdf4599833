package io.oleandermoor.state.configuration;

/** Whether a call may be sent to an upstream more than once. */
public enum Repeatability {
    /** The call is idempotent and may be retried. */
    IDEMPOTENT(true),
    /** The call must run at most once. */
    AT_MOST_ONCE(false);

    private final boolean retryAllowed;

    Repeatability(boolean retryAllowed) {
        this.retryAllowed = retryAllowed;
    }

    /**
     * Returns whether the call may be sent again after an unknown outcome.
     *
     * @return true if a retry is allowed
     */
    public boolean isRetryAllowed() {
        return retryAllowed;
    }
}
