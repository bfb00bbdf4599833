package io.oleandermoor.coordination.dissemination;

/**
 * A named piece of state of which the newest version wins.
 *
 * @param name the name, such as {@code member/entry-1}
 * @param version the version, positive; a change of the content comes with a larger one
 * @param content the bytes; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent") // compared by name and version, never by content
public record Item(String name, long version, byte[] content) {

    /** Checks name and version. */
    public Item {
        if (name.isEmpty()) {
            throw new IllegalArgumentException("name must not be empty");
        }
        if (version <= 0) {
            throw new IllegalArgumentException("version must be positive: " + version);
        }
    }

    ItemVersion itemVersion() {
        return new ItemVersion(name, version);
    }
}
