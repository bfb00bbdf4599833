package io.oleandermoor.coordination.configuration;

import io.oleandermoor.state.configuration.ChangeSet;

/**
 * An accepted set of changes.
 *
 * @param version the version that it makes out of the one before
 * @param changeSet the changes
 */
public record VersionedChange(long version, ChangeSet changeSet) {}
