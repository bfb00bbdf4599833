package io.oleandermoor.state.share;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;

/**
 * Selects the other entries that receive a report at a tick. Entries are selected in round-robin order, a bounded
 * number per tick, so that the traffic of an entry does not grow with the number of entries. Instead, the age of the
 * information that entries have about each other grows, up to a limit. Not thread-safe.
 */
public final class ReportRotation {

    /** Maximum number of ticks until every other entry has received a report, regardless of their number. */
    public static final int MAXIMUM_ROUND_TICKS = 10;

    private final int entriesPerTick;
    private String last = "";

    /**
     * Creates a rotation that starts with the first entry in name order.
     *
     * @param entriesPerTick the number of entries selected per tick; exceeded if a round would otherwise take too long
     */
    public ReportRotation(int entriesPerTick) {
        if (entriesPerTick < 1) {
            throw new IllegalArgumentException("entriesPerTick must be positive, not " + entriesPerTick);
        }
        this.entriesPerTick = entriesPerTick;
    }

    /**
     * Returns the number of ticks in which each entry is selected once.
     *
     * @param entries the number of other entries
     */
    public int roundTicks(int entries) {
        return Math.max(1, Math.min(MAXIMUM_ROUND_TICKS, ceilDivide(entries, entriesPerTick)));
    }

    /**
     * Returns the entries that receive a report at this tick, without duplicates.
     *
     * @param entries the names of all other entries
     */
    public List<String> next(NavigableSet<String> entries) {
        List<String> selected = new ArrayList<>();
        int count = ceilDivide(entries.size(), roundTicks(entries.size()));
        for (int index = 0; index < count; index++) {
            String following = entries.higher(last);
            last = following == null ? entries.first() : following;
            selected.add(last);
        }
        return selected;
    }

    private static int ceilDivide(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }
}
