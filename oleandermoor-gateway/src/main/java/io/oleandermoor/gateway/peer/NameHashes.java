package io.oleandermoor.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;

/**
 * Hashes of 32 bits that stand for the names of instances or teams in reports between entries. Entries know almost the
 * same names. A name whose hash is not unique among the known ones is reported in text. Used on the event loop only.
 */
final class NameHashes {

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final ToIntFunction<String> function;
    private final Map<String, Integer> hashes = new HashMap<>();
    private final Map<Integer, List<String>> names = new HashMap<>();

    /** Creates an index without names. */
    NameHashes() {
        this(name -> (int) HASH.hashBytes(name.getBytes(StandardCharsets.UTF_8)));
    }

    /** Creates an index without names that uses the given function. */
    NameHashes(ToIntFunction<String> function) {
        this.function = function;
    }

    /**
     * Replaces the known names.
     *
     * @return whether a known name has become ambiguous or is no longer ambiguous
     */
    boolean update(Collection<String> known) {
        if (known.size() == hashes.size() && hashes.keySet().containsAll(known)) {
            return false;
        }
        Set<String> ambiguous = ambiguousNames();
        Map<String, Integer> previous = Map.copyOf(hashes);
        hashes.clear();
        names.clear();
        for (String name : known) {
            Integer hash = previous.get(name);
            hash = hash == null ? function.applyAsInt(name) : hash;
            hashes.put(name, hash);
            names.merge(hash, List.of(name), NameHashes::concatenate);
        }
        return !ambiguous.equals(ambiguousNames());
    }

    /**
     * Replaces the known names if their number has changed, which is cheap enough for each received report.
     *
     * @return whether a known name has become ambiguous or is no longer ambiguous
     */
    boolean updateIfResized(Collection<String> known) {
        return known.size() != hashes.size() && update(known);
    }

    /** Returns the hash of a name. */
    int hash(String name) {
        Integer hash = hashes.get(name);
        return hash == null ? function.applyAsInt(name) : hash;
    }

    /** Returns whether a name is known and no other known name has its hash. */
    boolean isUnique(String name) {
        return hashes.containsKey(name) && names(hash(name)).size() == 1;
    }

    /** Returns the known names with a hash. */
    List<String> names(int hash) {
        return names.getOrDefault(hash, List.of());
    }

    private Set<String> ambiguousNames() {
        Set<String> ambiguous = new HashSet<>();
        for (List<String> same : names.values()) {
            if (same.size() > 1) {
                ambiguous.addAll(same);
            }
        }
        return ambiguous;
    }

    private static List<String> concatenate(List<String> first, List<String> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }
}
