package io.oleandermoor.daemon.administration;

import io.oleandermoor.state.finding.Finding;
import java.util.List;

/** What became of submitted changes. */
public sealed interface SubmitResult {

    /**
     * The changes are accepted.
     *
     * @param version the version that they made
     */
    record Accepted(long version) implements SubmitResult {}

    /**
     * Another version than the expected one is in force. Nothing was changed.
     *
     * @param currentVersion the version in force
     */
    record Conflict(long currentVersion) implements SubmitResult {}

    /**
     * The changes contradict the configuration. Nothing was changed.
     *
     * @param findings everything that is wrong
     */
    record Rejected(List<Finding> findings) implements SubmitResult {

        /** Copies the list. */
        public Rejected {
            findings = List.copyOf(findings);
        }
    }

    /**
     * The changes were certainly not accepted, because the configuration cannot be written now.
     *
     * @param reason why
     */
    record Unavailable(String reason) implements SubmitResult {}

    /**
     * The key-value service did not answer, and the key was revoked without it. The revocation lasts as long as any
     * process that knows of it, and is written when the service answers.
     *
     * @param otherEntries number of other entries to which the revocation was sent
     */
    record RevokedForNow(int otherEntries) implements SubmitResult {

        /**
         * Returns what an operator has to know.
         *
         * @return one line of text
         */
        public String message() {
            return "the key is revoked at this entry and was sent to " + otherEntries
                    + " other entries, but this is not durable: the key-value service did not answer. It is written under"
                    + " the change id when the service answers; until then it is lost if every process ends, and entries"
                    + " that cannot be reached from here may accept the key";
        }
    }

    /**
     * Whether the changes are accepted is not known; the operator asks by change id.
     *
     * @param reason why
     */
    record Unknown(String reason) implements SubmitResult {}
}
