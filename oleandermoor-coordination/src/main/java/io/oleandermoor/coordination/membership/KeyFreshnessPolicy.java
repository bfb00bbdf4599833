package io.oleandermoor.coordination.membership;

import java.util.OptionalLong;

/**
 * Decides whether an entry may accept keys by the configuration that it has. A revoked key must stop working within
 * seconds, so an entry that could have missed a revocation refuses. While most entries cannot reach the key-value
 * service, the service can accept no revocation, and the entries continue.
 */
public final class KeyFreshnessPolicy {

    /** How old the last confirmation of the configuration may be. */
    public static final long MAXIMUM_AGE_MILLIS = 10_000;

    private KeyFreshnessPolicy() {}

    /** Whether keys are accepted. */
    public enum Decision {
        /** The configuration was confirmed recently. */
        ACCEPT_CONFIRMED,
        /** Most entries cannot reach the service, so no revocation can have been accepted there. */
        ACCEPT_SERVICE_DOWN,
        /** A revocation may have been missed. */
        REFUSE;

        /**
         * Returns whether requests that need a key are served.
         *
         * @return false for {@link #REFUSE}
         */
        public boolean accepts() {
            return this != REFUSE;
        }
    }

    /**
     * What an entry knows about the other entries.
     *
     * @param ageMillis age of the last confirmation, or empty if there was none
     * @param registeredEntries number of entries registered at the service when it was last read, with this one
     * @param answeringEntries how many of them answered this entry lately, without this one
     * @param entriesWithoutService how many of the answering entries reported that they cannot reach the service
     */
    public record Situation(
            OptionalLong ageMillis, int registeredEntries, int answeringEntries, int entriesWithoutService) {

        /** Checks the counts. */
        public Situation {
            if (entriesWithoutService < 0
                    || answeringEntries < entriesWithoutService
                    || registeredEntries < answeringEntries) {
                throw new IllegalArgumentException("entries must satisfy 0 <= without service " + entriesWithoutService
                        + " <= answering " + answeringEntries + " <= registered " + registeredEntries);
            }
        }
    }

    /**
     * Decides for one entry.
     *
     * @param situation what the entry knows
     * @return the decision
     */
    public static Decision decide(Situation situation) {
        if (situation.ageMillis().isPresent() && situation.ageMillis().getAsLong() < MAXIMUM_AGE_MILLIS) {
            return Decision.ACCEPT_CONFIRMED;
        }
        // This entry counts itself among those without service: its configuration would be confirmed otherwise.
        boolean mostWithoutService = 2 * (situation.entriesWithoutService() + 1) > situation.registeredEntries();
        return mostWithoutService && situation.ageMillis().isPresent() ? Decision.ACCEPT_SERVICE_DOWN : Decision.REFUSE;
    }
}
