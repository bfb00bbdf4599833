package io.oleandermoor.state.ledger;

/** Why an attempt that had started ended. */
public enum FinishReason {
    /** The answer is complete. */
    COMPLETE(true, false),
    /** The answer reached its largest length. */
    LENGTH(true, false),
    /** The attempt was cancelled. */
    CANCELLED(false, false),
    /** The upstream failed to answer. */
    UPSTREAM_FAILED(false, true),
    /** The deadline passed while the attempt ran. */
    DEADLINE(false, false),
    /** The process of the upstream ended while the attempt ran. */
    UPSTREAM_CRASHED(false, true),
    /** The agent stops; the rest of the answer can be produced elsewhere. */
    MOVED(false, true);

    private final boolean complete;
    private final boolean continuable;

    FinishReason(boolean complete, boolean continuable) {
        this.complete = complete;
        this.continuable = continuable;
    }

    /**
     * Returns whether the whole answer was produced.
     *
     * @return true if nothing is missing
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns whether a repeatable request can continue at another upstream.
     *
     * @return true if another attempt is useful
     */
    public boolean isContinuable() {
        return continuable;
    }
}
