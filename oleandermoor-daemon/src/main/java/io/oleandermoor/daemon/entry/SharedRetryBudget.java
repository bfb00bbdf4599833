package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.admission.RetryBudget;
import io.oleandermoor.state.ledger.RetryPermission;

/** The retry budget of an entry, shared by its requests. Safe for use by several threads. */
final class SharedRetryBudget implements RetryPermission {

    /** Retries earned by one hundred successes: retries add at most a tenth to the load of upstreams that fail. */
    private static final int RETRY_PERCENT = 10;

    private static final int INITIAL_RETRIES = 20;

    private static final int MAXIMUM_RETRIES = 200;

    private final RetryBudget budget = new RetryBudget(RETRY_PERCENT, INITIAL_RETRIES, MAXIMUM_RETRIES);

    @Override
    public synchronized boolean tryAcquire() {
        return budget.tryRetry();
    }

    synchronized void succeeded() {
        budget.recordSuccess();
    }
}
