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
public final class DemandTracker {

    /** Time constant of the smoothed demand; shorter than the seconds within which the demand for a model rises. */
    private static final double SMOOTHING_TIME_CONSTANT_MILLIS = 2_500;
    /** Time constant of the demand from which a rise is told early; long enough to pass over single requests. */
    private static final double FORECAST_TIME_CONSTANT_MILLIS = 800;

    private final Map<String, Map<ModelTarget, RequestCounts>> countsByEntry = new HashMap<>();
    private final Map<ModelTarget, Demand> demands = new HashMap<>();
    private long lastUpdateMillis;

    /**
     * What one entry has for a target.
     *
     * @param running the requests that run
     * @param waiting the requests that wait because no engine can take them
     */
    public record RequestCounts(int running, int waiting) {}

    /** The demand for one target. */
    public static final class Demand {

        private double smoothed;
        private double fast;
        private int waiting;
        private int current;
        private long lastRequestedMillis = Long.MIN_VALUE / 2;

        /** Returns the smoothed number of requests that run or wait. */
        public double smoothed() {
            return smoothed;
        }

        /**
         * Returns the number of requests that run or wait soon: a demand that rises goes on to rise for as long again
         * as the two time constants lie apart, one that falls is not expected to fall further.
         */
        public double forecast() {
            return fast + Math.max(0, fast - smoothed);
        }

        /** Returns the requests that wait now. */
        public int waiting() {
            return waiting;
        }

        /** Returns the requests that run or wait now. */
        public int current() {
            return current;
        }

        /** Returns when the target was last asked for. */
        public long lastRequestedMillis() {
            return lastRequestedMillis;
        }
    }

    /** Replaces what an entry has. */
    public void report(String entry, Map<ModelTarget, RequestCounts> wanted) {
        countsByEntry.put(entry, Map.copyOf(wanted));
    }

    /** Forgets an entry. */
    public void remove(String entry) {
        countsByEntry.remove(entry);
    }

    /** Forgets all entries but one and some others. */
    public void retain(String entry, Set<String> others) {
        countsByEntry.keySet().removeIf(known -> !known.equals(entry) && !others.contains(known));
    }

    /** Adds up the entries and smooths. */
    public void update(long nowMillis) {
        double keep = Math.exp(-Math.max(0, nowMillis - lastUpdateMillis) / SMOOTHING_TIME_CONSTANT_MILLIS);
        double keepQuick = Math.exp(-Math.max(0, nowMillis - lastUpdateMillis) / FORECAST_TIME_CONSTANT_MILLIS);
        lastUpdateMillis = nowMillis;
        Map<ModelTarget, RequestCounts> totals = new HashMap<>();
        for (Map<ModelTarget, RequestCounts> entry : countsByEntry.values()) {
            entry.forEach((target, wanted) -> totals.merge(
                    target,
                    wanted,
                    (left, right) ->
                            new RequestCounts(left.running() + right.running(), left.waiting() + right.waiting())));
        }
        Set<ModelTarget> targets = new HashSet<>(demands.keySet());
        targets.addAll(totals.keySet());
        for (ModelTarget target : targets) {
            RequestCounts total = totals.getOrDefault(target, new RequestCounts(0, 0));
            Demand demand = demands.computeIfAbsent(target, key -> new Demand());
            demand.waiting = total.waiting();
            demand.current = total.running() + total.waiting();
            demand.smoothed = demand.smoothed * keep + demand.current * (1 - keep);
            demand.fast = demand.fast * keepQuick + demand.current * (1 - keepQuick);
            if (demand.current > 0) {
                demand.lastRequestedMillis = nowMillis;
            }
        }
    }

    /** Returns the demand for each target that was ever asked for. */
    public Map<ModelTarget, Demand> demands() {
        return Map.copyOf(demands);
    }
}
