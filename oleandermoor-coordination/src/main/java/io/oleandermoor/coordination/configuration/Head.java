package io.oleandermoor.coordination.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The value of {@code configuration/head}. It names the content of the last snapshot and of every change since, so that
 * contents of changes that lost a race are never read.
 *
 * @param version the current version
 * @param snapshotVersion version of the last snapshot, 0 before the first
 * @param olderSnapshotVersion version of the snapshot before, whose successors are kept for slow readers
 * @param snapshot the last snapshot, or null before the first
 * @param changes the changes since the snapshot, in order
 */
record Head(
        @JsonProperty("version") long version,
        @JsonProperty("snapshotVersion") long snapshotVersion,
        @JsonProperty("olderSnapshotVersion") long olderSnapshotVersion,
        @JsonProperty("snapshot") @Nullable ContentReference snapshot,
        @JsonProperty("changes") List<AcceptedChange> changes) {

    static final Head EMPTY = new Head(0, 0, 0, null, List.of());

    Head {
        changes = List.copyOf(changes);
    }

    Head withChange(String changeId, ContentReference content) {
        List<AcceptedChange> all = new ArrayList<>(changes);
        all.add(new AcceptedChange(changeId, content));
        return new Head(version + 1, snapshotVersion, olderSnapshotVersion, snapshot, all);
    }

    Head withSnapshot(ContentReference content) {
        return new Head(version, version, snapshotVersion, content, List.of());
    }

    long changeBytes() {
        return changes.stream().mapToLong(change -> change.content().bytes()).sum();
    }

    /** An accepted change and its content. */
    record AcceptedChange(String changeId, ContentReference content) {}
}
