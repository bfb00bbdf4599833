package io.oleandermoor.coordination.lease;

import io.oleandermoor.coordination.store.LeaseId;

/** A lease and the time until which its holder may rely on it. Thread-safe. */
final class LeaseValidity {

    private final LeaseId id;
    private final long validMillis;
    private volatile long validUntilMillis;

    LeaseValidity(LeaseId id, long sentMillis, long validMillis) {
        this.id = id;
        this.validMillis = validMillis;
        this.validUntilMillis = sentMillis + validMillis;
    }

    LeaseId id() {
        return id;
    }

    boolean isValid(long nowMillis) {
        return nowMillis < validUntilMillis;
    }

    long validUntilMillis() {
        return validUntilMillis;
    }

    long sentMillis() {
        return validUntilMillis - validMillis;
    }

    /**
     * Extends the validity after a renewal.
     *
     * @param sentMillis when the renewal was sent
     * @param nowMillis the present
     * @return false if the validity had ended before the answer came; it is then not extended, because the holder may
     *     have been told so already
     */
    synchronized boolean renewed(long sentMillis, long nowMillis) {
        if (!isValid(nowMillis)) {
            return false;
        }
        validUntilMillis = Math.max(validUntilMillis, sentMillis + validMillis);
        return isValid(nowMillis);
    }

    synchronized void end() {
        // Far enough in the past for every clock, and without overflow in sentMillis.
        validUntilMillis = Long.MIN_VALUE / 2;
    }
}
