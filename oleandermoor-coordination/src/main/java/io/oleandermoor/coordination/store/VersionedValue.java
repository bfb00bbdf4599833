package io.oleandermoor.coordination.store;

import java.nio.charset.StandardCharsets;

/**
 * A value with the revision of its last change.
 *
 * @param key the key
 * @param revision the revision of the last change of this key, larger than that of every earlier change of any key
 * @param value the bytes; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent") // compared by revision, never by content
public record VersionedValue(String key, long revision, byte[] value) {

    /**
     * Returns the value as text.
     *
     * @return the bytes decoded as UTF-8
     */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
