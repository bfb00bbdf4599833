package io.oleandermoor.coordination.configuration;

import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.finding.InvalidInputException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a configuration log knows. Immutable.
 *
 * @param headRevision the revision of the head
 * @param head the head
 * @param configuration the configuration at the head's version
 * @param changeIds accepted change ids with their versions, oldest first
 * @param lastChanges the last changes, in order
 */
record LogState(
        long headRevision,
        Head head,
        Configuration configuration,
        Map<String, Long> changeIds,
        List<VersionedChange> lastChanges) {

    static final LogState EMPTY =
            new LogState(KeyValueStore.ABSENT, Head.EMPTY, Configuration.empty(), Map.of(), List.of());

    /** A repeated call is recognized for six hours at 16,000 changes a day. */
    private static final int CHANGE_IDS = 4096;

    private static final int LAST_CHANGES = 64;

    LogState withHead(long revision, Head newHead) {
        return new LogState(revision, newHead, configuration, changeIds, lastChanges);
    }

    LogState apply(List<ChangeSet> changeSets) throws InvalidInputException {
        Configuration current = configuration;
        Map<String, Long> ids = new LinkedHashMap<>(changeIds);
        List<VersionedChange> last = new ArrayList<>(lastChanges);
        for (ChangeSet changeSet : changeSets) {
            current = current.apply(changeSet);
            ids.put(changeSet.changeId(), current.version());
            last.add(new VersionedChange(current.version(), changeSet));
        }
        var oldest = ids.keySet().iterator();
        while (ids.size() > CHANGE_IDS) {
            oldest.next();
            oldest.remove();
        }
        return new LogState(
                headRevision,
                head,
                current,
                Collections.unmodifiableMap(ids),
                List.copyOf(last.subList(Math.max(0, last.size() - LAST_CHANGES), last.size())));
    }

    /** Returns the changes after a version, or nothing if they are not all known. */
    List<VersionedChange> changesAfter(long version) {
        List<VersionedChange> after = lastChanges.stream()
                .filter(change -> change.version() > version)
                .toList();
        return after.size() == configuration.version() - version ? after : List.of();
    }
}
