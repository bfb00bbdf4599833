package io.oleandermoor.state.ledger;

/** Grants permission for retries from a retry budget. */
@FunctionalInterface
public interface RetryPermission {

    /**
     * Acquires permission for one retry.
     *
     * @return true if the retry is permitted; false if the budget is exhausted
     */
    boolean tryAcquire();
}
