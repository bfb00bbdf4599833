package io.oleandermoor.state.ledger;

/** Grants retries from a budget. */
@FunctionalInterface
public interface RetryPermission {

    /**
     * Takes one retry from the budget.
     *
     * @return false if the budget is used up
     */
    boolean tryAcquire();
}
