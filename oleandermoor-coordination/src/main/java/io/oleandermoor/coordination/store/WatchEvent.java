package io.oleandermoor.coordination.store;

import java.util.Optional;

/**
 * A change of one key.
 *
 * @param key the key
 * @param revision the revision of the change
 * @param value the new value, or empty if the key was deleted
 */
public record WatchEvent(String key, long revision, Optional<VersionedValue> value) {}
