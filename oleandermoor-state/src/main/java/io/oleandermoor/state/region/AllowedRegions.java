package io.oleandermoor.state.region;

import java.util.HashSet;
import java.util.Set;

/** Combines lists of allowed regions, of which an empty one allows all regions. */
public final class AllowedRegions {

    /** Allows no region, because no region has an empty name; an empty set would allow all. */
    private static final Set<String> NONE = Set.of("");

    private AllowedRegions() {}

    /** Returns the regions that both lists allow; empty if both allow all regions. */
    public static Set<String> intersection(Set<String> first, Set<String> second) {
        if (first.isEmpty() || second.isEmpty()) {
            return first.isEmpty() ? second : first;
        }
        Set<String> both = new HashSet<>(first);
        both.retainAll(second);
        return both.isEmpty() ? NONE : Set.copyOf(both);
    }
}
