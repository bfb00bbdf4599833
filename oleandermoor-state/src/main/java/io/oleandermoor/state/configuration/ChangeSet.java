package io.oleandermoor.state.configuration;

import java.util.List;

/**
 * Changes that are applied atomically and produce one new version.
 *
 * @param changeId identifier chosen by the operator, used to look up the outcome if the response was lost
 * @param author name of the author of the changes
 * @param changes the changes, in the order in which they are applied
 */
public record ChangeSet(String changeId, String author, List<Change> changes) {

    /** Copies the list. */
    public ChangeSet {
        changes = List.copyOf(changes);
    }
}
