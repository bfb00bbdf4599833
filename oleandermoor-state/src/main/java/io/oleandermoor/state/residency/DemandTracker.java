package io.oleandermoor.state.residency;

import io.oleandermoor.state.dispatch.ModelTarget;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the demand for models and adapters over all entries: the requests that run or wait for each, including refused
 * ones. Not thread-safe.
 */
public final class DemandTracker {

    /** Time constant of the smoothed demand; shorter than the few seconds within which the demand for a model rises. */
    private static final double SMOOTHING_TIME_CONSTANT_MILLIS = 2_500;
    /**
     * Time constant of the average that detects a rise early for the forecast; long enough to ignore single requests.
     */
    private static final double FORECAST_TIME_CONSTANT_MILLIS = 800;

    private final Map<String, Map<ModelTarget, RequestCounts>> countsByEntry = new HashMap<>();
    private final Map<ModelTarget, Demand> demands = new HashMap<>();
    private long lastUpdateMillis;

    /**
     * The requests of one entry for a target.
     *
     * @param running the number of running requests
     * @param waiting the number of requests that wait because no engine can accept them
     */
    public record RequestCounts(int running, int waiting) {}

    /** The demand for one target. */
    public static final class Demand {

        private double smoothed;
        private double fastSmoothed;
        private int waiting;
        private int current;
        private long lastRequestedMillis = Long.MIN_VALUE / 2;

        /** Returns the smoothed number of running and waiting requests. */
        public double smoothed() {
            return smoothed;
        }

        /**
         * Returns the expected number of running and waiting requests in the near future. Rising demand is assumed to
         * keep rising for a period equal to the difference between the two time constants. Falling demand is not
         * assumed to fall further.
         */
        public double forecast() {
            return fastSmoothed + Math.max(0, fastSmoothed - smoothed);
        }

        /** Returns the number of requests that wait now. */
        public int waiting() {
            return waiting;
        }

        /** Returns the number of requests that run or wait now. */
        public int current() {
            return current;
        }

        /** Returns the time at which the target last had a request. */
        public long lastRequestedMillis() {
            return lastRequestedMillis;
        }
    }

    /** Replaces the request counts of an entry. */
    public void report(String entry, Map<ModelTarget, RequestCounts> counts) {
        countsByEntry.put(entry, Map.copyOf(counts));
    }

    /** Removes the request counts of an entry. */
    public void remove(String entry) {
        countsByEntry.remove(entry);
    }

    /** Removes the request counts of all entries except {@code entry} and {@code others}. */
    public void retain(String entry, Set<String> others) {
        countsByEntry.keySet().removeIf(known -> !known.equals(entry) && !others.contains(known));
    }

    /** Sums up the request counts of all entries and updates the smoothed demand. */
    public void update(long nowMillis) {
        double decay = Math.exp(-Math.max(0, nowMillis - lastUpdateMillis) / SMOOTHING_TIME_CONSTANT_MILLIS);
        double fastDecay = Math.exp(-Math.max(0, nowMillis - lastUpdateMillis) / FORECAST_TIME_CONSTANT_MILLIS);
        lastUpdateMillis = nowMillis;
        Map<ModelTarget, RequestCounts> totals = new HashMap<>();
        for (Map<ModelTarget, RequestCounts> entry : countsByEntry.values()) {
            entry.forEach((target, counts) -> totals.merge(
                    target,
                    counts,
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
            demand.smoothed = demand.smoothed * decay + demand.current * (1 - decay);
            demand.fastSmoothed = demand.fastSmoothed * fastDecay + demand.current * (1 - fastDecay);
            if (demand.current > 0) {
                demand.lastRequestedMillis = nowMillis;
            }
        }
    }

    /** Returns the demand for each target that ever had a request. */
    public Map<ModelTarget, Demand> demands() {
        return Map.copyOf(demands);
    }
}
