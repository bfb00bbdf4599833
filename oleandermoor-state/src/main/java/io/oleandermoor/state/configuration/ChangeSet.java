package io.oleandermoor.state.configuration;

import java.util.List;

/**
 * Changes that are accepted together as one version.
 *
 * @param changeId identifier chosen by the operator, by which a lost answer can be asked about
 * @param author who made the change
 * @param changes the steps, in order
 */
public record ChangeSet(String changeId, String author, List<Change> changes) {

    /** Copies the list. */
    public ChangeSet {
        changes = List.copyOf(changes);
    }
}
