package io.oleandermoor.operator;

import io.oleandermoor.state.configuration.ChangeSet;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * A set of changes as it is sent to the administration interface of an entry.
 *
 * @param changeSet the changes
 * @param expectedVersion the version in force that the operator saw; if another is in force, the changes are refused;
 *     if empty, they apply to any version
 */
public record ChangeRequest(ChangeSet changeSet, OptionalLong expectedVersion) {

    /** Checks the arguments. */
    public ChangeRequest {
        Objects.requireNonNull(changeSet, "changeSet");
        Objects.requireNonNull(expectedVersion, "expectedVersion");
    }
}
