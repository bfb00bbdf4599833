package io.oleandermoor.coordination.lease;

import java.time.Duration;

/**
 * Times of leases.
 *
 * @param timeToLive how long a lease lives at the service without renewal
 * @param handBackAfter how long another process must have been the first choice for a name before its owner hands it
 *     over
 */
public record LeaseSettings(Duration timeToLive, Duration handBackAfter) {

    /** Renewals each 2 s; a name without owner is taken within about 9 s. */
    public static final LeaseSettings DEFAULT = new LeaseSettings(Duration.ofSeconds(6), Duration.ofSeconds(60));

    private static final long SHORTEST_MILLIS = 600;

    /** Checks the times. */
    public LeaseSettings {
        if (timeToLive.toMillis() < SHORTEST_MILLIS) {
            throw new IllegalArgumentException("timeToLive must be at least " + SHORTEST_MILLIS + " ms: " + timeToLive);
        }
    }

    /**
     * Returns how long an owner relies on a lease after it sent the renewal. Its clock may run 1% slow and the
     * service's clock 1% fast: 0.99 / 1.01 is slightly more than 0.98.
     *
     * @return the time by the owner's clock, in milliseconds
     */
    long validMillis() {
        return timeToLive.toMillis() * 98 / 100;
    }

    long renewalMillis() {
        return timeToLive.toMillis() / 3;
    }

    long tickMillis() {
        return timeToLive.toMillis() / 12;
    }

    /** Candidates that are not the owner look at a name this often. */
    long attemptMillis() {
        return timeToLive.toMillis() / 2;
    }
}
