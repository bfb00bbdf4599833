package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.configuration.Configuration;
import java.util.List;

/**
 * What a read of the configuration log found.
 *
 * @param configuration the current configuration
 * @param changes all changes after the version that the reader has, in order, or empty if they are not at hand
 */
public record ConfigurationUpdate(Configuration configuration, List<VersionedChange> changes) {

    /** Copies the list. */
    public ConfigurationUpdate {
        changes = List.copyOf(changes);
    }
}
