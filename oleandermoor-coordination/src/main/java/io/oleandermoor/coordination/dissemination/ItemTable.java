package io.oleandermoor.coordination.dissemination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** The newest version of each item, with digests. Not thread-safe. */
final class ItemTable {

    /** A removed item does not come back from a peer that removes it later, or was cut off, for this long. */
    static final long REMOVED_MILLIS = 3_600_000;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Removed> removed = new HashMap<>();
    private final DigestTree digests = new DigestTree();

    /** Stores an item if it is newer than what is known. */
    boolean accept(Item item) {
        if (item.version() <= knownVersion(item.name())) {
            return false;
        }
        long nameHash = DigestTree.nameHash(item.name());
        @Nullable Entry old = entries.put(item.name(), new Entry(item, nameHash));
        if (old != null) {
            digests.remove(nameHash, old.item.version());
        }
        digests.add(nameHash, item.version());
        removed.remove(item.name());
        return true;
    }

    /** Returns the version that is stored or was removed, or 0. */
    long knownVersion(String name) {
        @Nullable Entry entry = entries.get(name);
        if (entry != null) {
            return entry.item.version();
        }
        @Nullable Removed gone = removed.get(name);
        return gone == null ? 0 : gone.version;
    }

    Optional<Item> item(String name) {
        return Optional.ofNullable(entries.get(name)).map(Entry::item);
    }

    List<Item> items() {
        return entries.values().stream().map(Entry::item).toList();
    }

    int size() {
        return entries.size();
    }

    List<Item> itemsIn(int bucket) {
        List<Item> found = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (DigestTree.contains(bucket, entry.nameHash)) {
                found.add(entry.item);
            }
        }
        return found;
    }

    void remove(Predicate<Item> condition, long nowMillis) {
        entries.values().removeIf(entry -> {
            if (!condition.test(entry.item)) {
                return false;
            }
            digests.remove(entry.nameHash, entry.item.version());
            removed.put(entry.item.name(), new Removed(entry.item.version(), nowMillis + REMOVED_MILLIS));
            return true;
        });
        removed.values().removeIf(gone -> gone.untilMillis <= nowMillis);
    }

    DigestTree digests() {
        return digests;
    }

    private record Entry(Item item, long nameHash) {}

    private record Removed(long version, long untilMillis) {}
}
