package io.oleandermoor.daemon.placement;

import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.coordination.store.WriteOutcome;
import java.util.Optional;

/**
 * One value at the key-value service, read once and then written against the known revision, so that an owner that
 * writes alone never reads again. Calls block. Not safe for use by several threads.
 */
public final class StoredValue {

    private final KeyValueStore store;

    private final ConditionalWriter writer;

    private final String name;

    private Optional<Long> revision = Optional.empty();

    /**
     * Creates a value that is not known yet.
     *
     * @param store the key-value service
     * @param writer writes the value
     * @param name the key of the value
     */
    public StoredValue(KeyValueStore store, ConditionalWriter writer, String name) {
        this.store = store;
        this.writer = writer;
        this.name = name;
    }

    /** Forgets the revision; the value has to be read before the next write. */
    void forget() {
        revision = Optional.empty();
    }

    /** Returns whether the value was read, and no write since was refused. */
    boolean isKnown() {
        return revision.isPresent();
    }

    /**
     * Reads the value.
     *
     * @return its content, or empty if there is none
     * @throws StoreException if the value was not written by this project
     */
    Optional<byte[]> read() throws StoreException {
        Optional<VersionedValue> stored = store.get(name).blockingGet();
        Optional<byte[]> content =
                stored.isPresent() ? Optional.of(ConditionalWriter.content(stored.get())) : Optional.empty();
        revision = Optional.of(stored.map(VersionedValue::revision).orElse(KeyValueStore.ABSENT));
        return content;
    }

    /**
     * Writes the value if nobody else has written it since it was read.
     *
     * @param content the content
     * @return whether it was written; otherwise it is not known any more
     */
    boolean write(byte[] content) {
        long expected = revision.orElseThrow(() -> new IllegalStateException(name + " must be read before a write"));
        WriteOutcome outcome =
                writer.write(name, expected, content, Optional.empty()).blockingGet();
        revision = outcome.applied() ? Optional.of(outcome.revision()) : Optional.empty();
        return outcome.applied();
    }
}
