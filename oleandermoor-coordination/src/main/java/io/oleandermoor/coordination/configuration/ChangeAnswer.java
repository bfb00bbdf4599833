package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.finding.Finding;
import java.util.List;

/** Answer to an operator's change. */
public sealed interface ChangeAnswer {

    /**
     * The change is accepted, now or by an earlier call with the same change id.
     *
     * @param version the version that the change made
     */
    record Accepted(long version) implements ChangeAnswer {}

    /**
     * Another change was accepted first; nothing was changed.
     *
     * @param currentVersion the version to which a new attempt must refer
     */
    record Conflict(long currentVersion) implements ChangeAnswer {}

    /**
     * The change contradicts itself or the configuration; nothing was changed.
     *
     * @param findings what is wrong
     */
    record Invalid(List<Finding> findings) implements ChangeAnswer {

        /** Copies the list. */
        public Invalid {
            findings = List.copyOf(findings);
        }
    }
}
