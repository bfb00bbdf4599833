package io.oleandermoor.state.placement;

import java.util.List;

/**
 * Past demand of one model, in tokens/s.
 *
 * @param hourlyMeansByDay hourly means of earlier days, the most recent day first; 24 values for each day, starting at
 *     midnight
 * @param recentSamples samples of the last minutes, one per minute, the latest one last
 */
public record DemandHistory(List<List<Double>> hourlyMeansByDay, List<Double> recentSamples) {

    /** Validates the lengths and copies the lists. */
    public DemandHistory {
        hourlyMeansByDay = hourlyMeansByDay.stream().map(List::copyOf).toList();
        recentSamples = List.copyOf(recentSamples);
        for (List<Double> day : hourlyMeansByDay) {
            if (day.size() != 24) {
                throw new IllegalArgumentException("a day must have 24 hourly means but has " + day.size());
            }
        }
    }

    /** Returns the latest sample, or 0 if there is none. */
    double current() {
        return recentSamples.isEmpty() ? 0 : recentSamples.get(recentSamples.size() - 1);
    }
}
