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
     * Whether the changes are accepted is not known; the operator asks by change id.
     *
     * @param reason why
     */
    record Unknown(String reason) implements SubmitResult {}
}
