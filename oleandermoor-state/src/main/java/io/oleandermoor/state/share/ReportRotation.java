package io.oleandermoor.state.share;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;

/**
 * Decides which of the other entries get a report at a tick. Each one is told in turn, a bounded number at a time, so
 * that what an entry sends and receives in a second does not grow with the number of entries; what grows instead, up to
 * a bound, is the age of what entries know of each other. Not safe for use by several threads.
 */
public final class ReportRotation {

    /** Ticks within which every other entry is told, however many there are. */
    public static final int MAXIMUM_ROUND_TICKS = 10;

    private final int perTick;
    private String last = "";

    /**
     * Creates a rotation.
     *
     * @param perTick the entries that are told at one tick, unless a round would take too long then
     */
    public ReportRotation(int perTick) {
        if (perTick < 1) {
            throw new IllegalArgumentException("perTick must be positive, not " + perTick);
        }
        this.perTick = perTick;
    }

    /**
     * Returns the number of ticks after which each of a number of entries has been told.
     *
     * @param entries the number of other entries
     */
    public int roundTicks(int entries) {
        return Math.max(1, Math.min(MAXIMUM_ROUND_TICKS, ceilDivide(entries, perTick)));
    }

    /**
     * Returns the entries that are told now, each of them once.
     *
     * @param entries the names of all other entries
     */
    public List<String> next(NavigableSet<String> entries) {
        List<String> due = new ArrayList<>();
        int count = ceilDivide(entries.size(), roundTicks(entries.size()));
        for (int index = 0; index < count; index++) {
            String following = entries.higher(last);
            last = following == null ? entries.first() : following;
            due.add(last);
        }
        return due;
    }

    private static int ceilDivide(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }
}
