package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The demand for models and adapters over all entries: the requests that run or wait for each, refused ones included.
 * Not safe for use by several threads.
 */
public final class DemandBoard {

    /** Time constant of the smoothed demand; shorter than the seconds within which the demand for a model rises. */
    private static final double SMOOTHING_MILLIS = 2_500;
    /** Time constant of the demand from which a rise is told early; long enough to pass over single requests. */
    private static final double QUICK_MILLIS = 800;

    private final Map<String, Map<ModelTarget, Wanted>> byEntry = new HashMap<>();
    private final Map<ModelTarget, Demand> demands = new HashMap<>();
    private long updatedMillis;

    /**
     * What one entry has for a target.
     *
     * @param running the requests that run
     * @param waiting the requests that wait because no engine can take them
     */
    public record Wanted(int running, int waiting) {}

    /** The demand for one target. */
    public static final class Demand {

        private double smoothed;
        private double quick;
        private int waiting;
        private int present;
        private long lastWantedMillis = Long.MIN_VALUE / 2;

        /** Returns the smoothed number of requests that run or wait. */
        public double smoothed() {
            return smoothed;
        }

        /**
         * Returns the number of requests that run or wait soon: a demand that rises goes on to rise for as long again
         * as the two time constants lie apart, one that falls is not expected to fall further.
         */
        public double forecast() {
            return quick + Math.max(0, quick - smoothed);
        }

        /** Returns the requests that wait now. */
        public int waiting() {
            return waiting;
        }

        /** Returns the requests that run or wait now. */
        public int present() {
            return present;
        }

        /** Returns when the target was last asked for. */
        public long lastWantedMillis() {
            return lastWantedMillis;
        }
    }

    /** Replaces what an entry has. */
    public void report(String entry, Map<ModelTarget, Wanted> wanted) {
        byEntry.put(entry, Map.copyOf(wanted));
    }

    /** Forgets an entry. */
    public void forget(String entry) {
        byEntry.remove(entry);
    }

    /** Forgets all entries but one and some others. */
    public void retain(String entry, Set<String> others) {
        byEntry.keySet().removeIf(known -> !known.equals(entry) && !others.contains(known));
    }

    /** Adds up the entries and smooths. */
    public void update(long nowMillis) {
        double keep = Math.exp(-Math.max(0, nowMillis - updatedMillis) / SMOOTHING_MILLIS);
        double keepQuick = Math.exp(-Math.max(0, nowMillis - updatedMillis) / QUICK_MILLIS);
        updatedMillis = nowMillis;
        Map<ModelTarget, Wanted> totals = new HashMap<>();
        for (Map<ModelTarget, Wanted> entry : byEntry.values()) {
            entry.forEach((target, wanted) -> totals.merge(
                    target,
                    wanted,
                    (left, right) -> new Wanted(left.running() + right.running(), left.waiting() + right.waiting())));
        }
        Set<ModelTarget> targets = new HashSet<>(demands.keySet());
        targets.addAll(totals.keySet());
        for (ModelTarget target : targets) {
            Wanted total = totals.getOrDefault(target, new Wanted(0, 0));
            Demand demand = demands.computeIfAbsent(target, key -> new Demand());
            demand.waiting = total.waiting();
            demand.present = total.running() + total.waiting();
            demand.smoothed = demand.smoothed * keep + demand.present * (1 - keep);
            demand.quick = demand.quick * keepQuick + demand.present * (1 - keepQuick);
            if (demand.present > 0) {
                demand.lastWantedMillis = nowMillis;
            }
        }
    }

    /** Returns the demand for each target that was ever asked for. */
    public Map<ModelTarget, Demand> demands() {
        return Map.copyOf(demands);
    }
}
