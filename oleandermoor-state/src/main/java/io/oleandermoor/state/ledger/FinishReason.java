package io.oleandermoor.state.ledger;

/** Reason why an attempt ended after it had started. */
public enum FinishReason {
    /** The answer is complete. */
    COMPLETE(true, false),
    /** The answer reached its maximum length. */
    LENGTH(true, false),
    /** The attempt was cancelled. */
    CANCELLED(false, false),
    /** The upstream failed to complete the answer. */
    UPSTREAM_FAILED(false, true),
    /** The deadline was exceeded while the attempt was running. */
    DEADLINE(false, false),
    /** The process of the upstream ended while the attempt was running. */
    UPSTREAM_CRASHED(false, true),
    /** The agent is stopping; the rest of the answer can be generated at another upstream. */
    MOVED(false, true);

    private final boolean complete;
    private final boolean continuable;

    FinishReason(boolean complete, boolean continuable) {
        this.complete = complete;
        this.continuable = continuable;
    }

    /**
     * Returns whether the whole answer was generated.
     *
     * @return true if the answer is complete
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns whether a repeatable request can continue at another upstream.
     *
     * @return true if another attempt may complete the answer
     */
    public boolean isContinuable() {
        return continuable;
    }
}
